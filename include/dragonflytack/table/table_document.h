#ifndef DRAGONFLYTACK_TABLE_TABLE_DOCUMENT_H_
#define DRAGONFLYTACK_TABLE_TABLE_DOCUMENT_H_

#include <optional>
#include <string>
#include <vector>

#include "dragonflytack/base/failure.h"
#include "dragonflytack/table/edit_record.h"
#include "dragonflytack/table/table.h"

namespace dragonflytack {

// The value of the store object "table": all rows and the most recent edits, as
// JSON.
struct TableDocument final {
  static constexpr size_t kMaxBytes = 1'000'000;
  // Edits beyond this number are moved to history objects.
  static constexpr size_t kMaxRecentEdits = 512;

  Table::Rows rows;
  Table::Routes routes;
  std::vector<EditRecord> recent;

  // Reads the JSON text. Returns nothing, with row and column in `reason` where
  // they apply, when it is malformed, names a column that does not exist, or is
  // over kMaxBytes. Table::Make() checks the values.
  static std::optional<TableDocument> Parse(const std::string& json,
                                            Failure* reason);

  std::string ToJson() const;

  friend bool operator==(const TableDocument&, const TableDocument&) = default;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_TABLE_TABLE_DOCUMENT_H_
