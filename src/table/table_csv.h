#ifndef DRAGONFLYTACK_TABLE_TABLE_CSV_H_
#define DRAGONFLYTACK_TABLE_TABLE_CSV_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "dragonflytack/base/failure.h"
#include "dragonflytack/table/table.h"

namespace dragonflytack {

// Parses one sheet of the table (ServiceRow, RouteRow or AccountRow) from CSV
// (RFC 4180). The first line contains the column names, in any order. Columns
// with a default may be missing, and an empty cell stands for the default.
//
// Returns std::nullopt and kTooLarge if the text is larger than
// TableDocument::kMaxBytes. Returns std::nullopt and kInvalidCsv, with "line N"
// or "line N, column NAME" as the subject (for accounts "line N, account
// ROW/NAME"), if the text is malformed, contains an unknown column, an invalid
// value or the same row twice. Failures of the sheet of accounts contain no
// cell but the name of the row. Limits of the whole table are checked by
// Table::Make(), not here.
template <typename Row = ServiceRow>
std::optional<std::map<std::string, Row>> ParseCsv(std::string_view text,
                                                   Failure* reason);

// Returns all columns of all rows as CSV, with lines terminated by CR LF.
template <typename Row>
std::string FormatCsv(const std::map<std::string, Row>& rows);

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_TABLE_TABLE_CSV_H_
