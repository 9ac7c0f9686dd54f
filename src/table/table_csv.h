#ifndef DRAGONFLYTACK_TABLE_TABLE_CSV_H_
#define DRAGONFLYTACK_TABLE_TABLE_CSV_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "dragonflytack/base/failure.h"
#include "dragonflytack/table/table.h"

namespace dragonflytack {

// A sheet of the table, of ServiceRow or RouteRow, as CSV (RFC 4180). The first
// line names the columns, in any order; columns that have a default may be
// missing, and an empty cell means the default.
//
// Reads at most TableDocument::kMaxBytes. Returns nothing with kInvalidCsv or
// kTooLarge and "line N" or "line N, column NAME" as the subject when the text
// is malformed, names an unknown column or holds a row twice. The rows are
// checked by Table::Make(), not here.
template <typename Row = ServiceRow>
std::optional<std::map<std::string, Row>> ParseCsv(std::string_view text,
                                                   Failure* reason);

// Returns all columns of all rows, lines ended by CR LF.
template <typename Row>
std::string FormatCsv(const std::map<std::string, Row>& rows);

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_TABLE_TABLE_CSV_H_
