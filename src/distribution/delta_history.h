#ifndef DRAGONFLYTACK_SRC_DISTRIBUTION_DELTA_HISTORY_H_
#define DRAGONFLYTACK_SRC_DISTRIBUTION_DELTA_HISTORY_H_

#include <cstddef>
#include <deque>
#include <memory>
#include <optional>

#include "dragonflytack/table/table_delta.h"
#include "dragonflytack/table/table_version.h"

namespace dragonflytack {

class Table;

// Deltas between the last versions that this node held. Tables are not kept,
// because 64 tables of 1,000 rows would exceed the memory budget.
class DeltaHistory final {
 public:
  static constexpr size_t kMaxVersions = 64;

  // Appends a version, which must be newer than all before.
  void Append(std::shared_ptr<const Table> table);

  // Returns the combined delta from `version` to the newest one, or
  // std::nullopt if the history does not reach back to `version`.
  std::optional<TableDelta> DeltaFrom(TableVersion version) const;

 private:
  std::shared_ptr<const Table> newest_;
  std::deque<TableDelta> deltas_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_DISTRIBUTION_DELTA_HISTORY_H_
