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

// The steps between the last versions this node held. Deltas are kept rather
// than tables: 64 tables of 1,000 rows would take more than the whole memory
// budget.
class DeltaHistory final {
 public:
  static constexpr size_t kMaxVersions = 64;

  // Adds a newer version.
  void Append(std::shared_ptr<const Table> table);

  // Returns the difference from a version to the newest one, nothing when the
  // version is not covered.
  std::optional<TableDelta> DeltaFrom(TableVersion version) const;

 private:
  std::shared_ptr<const Table> newest_;
  std::deque<TableDelta> steps_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_DISTRIBUTION_DELTA_HISTORY_H_
