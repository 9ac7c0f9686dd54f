#ifndef DRAGONFLYTACK_STORE_HISTORY_ARCHIVE_H_
#define DRAGONFLYTACK_STORE_HISTORY_ARCHIVE_H_

#include <optional>
#include <span>
#include <string>
#include <vector>

#include "dragonflytack/base/failure.h"
#include "dragonflytack/table/edit_record.h"
#include "dragonflytack/table/table_version.h"

namespace dragonflytack {

// Edits that were moved out of the table, stored in an object
// "history/<version>". <version> is the version of the table that they were
// moved from, padded to 20 digits, so that ordering by key orders the edits.
// Two objects may contain the same edit.
struct HistoryArchive final {
  static constexpr char kPrefix[] = "history/";

  std::vector<EditRecord> edits;

  static std::string Key(TableVersion version);
  static std::optional<HistoryArchive> Parse(const std::string& json,
                                             Failure* reason);
  std::string ToJson() const;

  // Adds the edits that are not in the archive yet. Returns false if there were
  // none.
  bool Add(std::span<const EditRecord> new_edits);
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_STORE_HISTORY_ARCHIVE_H_
