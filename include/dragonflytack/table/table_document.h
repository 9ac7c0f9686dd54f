#ifndef DRAGONFLYTACK_TABLE_TABLE_DOCUMENT_H_
#define DRAGONFLYTACK_TABLE_TABLE_DOCUMENT_H_

#include <optional>
#include <string>
#include <vector>

#include "dragonflytack/base/failure.h"
#include "dragonflytack/table/edit_record.h"
#include "dragonflytack/table/table.h"

namespace dragonflytack {

// Contents of the store object "table", which is stored as JSON: the rows of
// all sheets and the most recent edits.
struct TableDocument final {
  // The largest value of the project's own store.
  static constexpr size_t kMaxBytes = 1'000'000;
  // Limits of the sheets that the editor writes. A node also accepts larger
  // tables, which other environments may have.
  static constexpr size_t kMaxRows = 1000;
  static constexpr size_t kMaxRoutes = 10'000;
  static constexpr size_t kMaxAccounts = 10'000;
  // Edits beyond this number are moved to history objects.
  static constexpr size_t kMaxRecentEdits = 512;

  Table::Rows rows;
  Table::Routes routes;
  Table::Accounts accounts;
  std::vector<EditRecord> recent;

  // Parses the JSON text. Returns std::nullopt if it is malformed, contains an
  // unknown column, or is larger than kMaxBytes; `reason` then contains the row
  // and column to which the error applies, if any. Ranges of values are checked
  // by Table::Make(), not here.
  static std::optional<TableDocument> Parse(const std::string& json,
                                            Failure* reason);

  std::string ToJson() const;

  // Returns a failure with the subject "table", "routes" or "accounts" if a
  // sheet has more rows than the editor may write.
  std::optional<Failure> FindExcessRows() const;

  friend bool operator==(const TableDocument&, const TableDocument&) = default;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_TABLE_TABLE_DOCUMENT_H_
