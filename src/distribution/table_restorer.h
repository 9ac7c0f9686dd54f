#ifndef DRAGONFLYTACK_SRC_DISTRIBUTION_TABLE_RESTORER_H_
#define DRAGONFLYTACK_SRC_DISTRIBUTION_TABLE_RESTORER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "distribution/backoff.h"
#include "dragonflytack/base/clock.h"
#include "dragonflytack/store/store_object.h"
#include "dragonflytack/table/table.h"

namespace dragonflytack {

class Logger;
class Random;
class ThrottledStoreClient;

// Writes the held table back to a store that has returned from an older copy
// and so lacks accepted edits. The new version is above all others, so every
// node takes it. Designated watchers do this one after the other, by rank, each
// on the condition of the version that it found, so that one of them succeeds.
class TableRestorer final {
 public:
  using TableFunction = std::function<std::shared_ptr<const Table>()>;
  // Returns whether the held table is the newest that was reported to this
  // node.
  using IsNewestFunction = std::function<bool()>;
  using ObjectCallback = std::function<void(const StoreObject&)>;

  // Time from the first response of the new era to the write-back. Within it,
  // each peer has sent a heartbeat with its version, so that a node that was
  // suspended does not write an older table than others have in force.
  static constexpr Milliseconds kSettleTime{1'500};
  static constexpr Milliseconds kMaxJitter{200};
  static constexpr Milliseconds kMinBackoff{200};
  static constexpr Milliseconds kMaxBackoff{2'000};

  // `author` is the author of the edit that the write-back adds to the table's
  // recent edits. All pointers must outlive the object.
  TableRestorer(std::string author,
                ThrottledStoreClient* store,
                const Clock* clock,
                Random* random,
                Logger* logger,
                TableFunction held_table,
                IsNewestFunction is_newest,
                ObjectCallback on_object);
  TableRestorer(const TableRestorer&) = delete;
  TableRestorer& operator=(const TableRestorer&) = delete;

  // Begins the write-back when it is due. `active` is true on designated
  // watchers with a table in force. `delay` is added to kSettleTime.
  void Tick(bool active, Milliseconds delay);

  // Whether a table of this version may lack accepted edits, because the store
  // has returned from a copy since it assigned the number.
  bool IsFromCopy(StoreVersion version) const;

 private:
  void Read();
  void OnRead(const StoreObject& found);
  // Returns the document to write over `found`: the held table with the recent
  // edits of `found` and an edit of the cells that the copy lacked.
  std::string MakeDocument(const Table& held, const StoreObject& found) const;
  void Retry(Milliseconds delay);

  const std::string author_;
  ThrottledStoreClient* const store_;
  const Clock* const clock_;
  Random* const random_;
  Logger* const logger_;
  const TableFunction held_table_;
  const IsNewestFunction is_newest_;
  const ObjectCallback on_object_;
  // The latest era in which the store's table is known not to be from a copy.
  uint64_t confirmed_era_ = 0;
  // The era of the pending write-back, and when it is due.
  uint64_t pending_era_ = 0;
  std::optional<TimePoint> due_;
  // Whether a call to the store is in progress.
  bool calling_ = false;
  Backoff backoff_{kMinBackoff, kMaxBackoff};
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_DISTRIBUTION_TABLE_RESTORER_H_
