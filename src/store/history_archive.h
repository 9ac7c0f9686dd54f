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

// Edits that were moved out of the table, in objects "history/<version>": the
// version is that of the table they were taken from, with 20 digits, so that
// the order of keys is the order of edits. Two objects may hold the same edit.
struct HistoryArchive final {
  static constexpr char kPrefix[] = "history/";

  std::vector<EditRecord> edits;

  static std::string Key(TableVersion version);
  static std::optional<HistoryArchive> Parse(const std::string& json,
                                             Failure* reason);
  std::string ToJson() const;

  // Adds the edits that it does not hold; returns false when it held all.
  bool Add(std::span<const EditRecord> others);
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_STORE_HISTORY_ARCHIVE_H_
