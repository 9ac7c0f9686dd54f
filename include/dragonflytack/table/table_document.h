#ifndef DRAGONFLYTACK_TABLE_TABLE_DOCUMENT_H_
#define DRAGONFLYTACK_TABLE_TABLE_DOCUMENT_H_

#include <optional>
#include <string>
#include <vector>

#include "dragonflytack/base/failure.h"
#include "dragonflytack/table/edit_record.h"
#include "dragonflytack/table/table.h"

namespace dragonflytack {

// Contents of the store object "table", which is stored as JSON: all rows and
// routes and the most recent edits.
struct TableDocument final {
  static constexpr size_t kMaxBytes = 1'000'000;
  // Edits beyond this number are moved to history objects.
  static constexpr size_t kMaxRecentEdits = 512;

  Table::Rows rows;
  Table::Routes routes;
  std::vector<EditRecord> recent;

  // Parses the JSON text. Returns std::nullopt if it is malformed, contains an
  // unknown column, or is larger than kMaxBytes; `reason` then contains the row
  // and column to which the error applies, if any. Ranges of values are checked
  // by Table::Make(), not here.
  static std::optional<TableDocument> Parse(const std::string& json,
                                            Failure* reason);

  std::string ToJson() const;

  friend bool operator==(const TableDocument&, const TableDocument&) = default;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_TABLE_TABLE_DOCUMENT_H_
