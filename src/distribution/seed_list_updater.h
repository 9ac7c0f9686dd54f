#ifndef DRAGONFLYTACK_SRC_DISTRIBUTION_SEED_LIST_UPDATER_H_
#define DRAGONFLYTACK_SRC_DISTRIBUTION_SEED_LIST_UPDATER_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <vector>

#include "distribution/backoff.h"
#include "distribution/seed_list.h"
#include "dragonflytack/base/clock.h"
#include "dragonflytack/store/store_object.h"

namespace dragonflytack {

class Logger;
class Random;
class ThrottledStoreClient;

// Reads the store object "seeds" while this node needs peers, and keeps the
// entry of its own data centre current while this node is a designated watcher.
class SeedListUpdater final {
 public:
  // The interval between reads of a designated watcher doubles from the minimum
  // to the maximum. It starts again at the minimum when the node becomes a
  // designated watcher and when its entry is out of date: the nodes of a young
  // fleet change within seconds, and a restart of all listed nodes would leave
  // a list of nodes that nobody can join through.
  static constexpr Milliseconds kMinUpdateInterval{20'000};
  static constexpr Milliseconds kMaxUpdateInterval{66'000};
  static constexpr Milliseconds kMinWriteInterval{2'000};
  // Interval between comparisons of the own entry with the listed one.
  static constexpr Milliseconds kCheckInterval{2'000};
  static constexpr Milliseconds kConflictDelay{1'000};

  // Returns the new entry of this node's data centre, given the listed one.
  using OwnEntryFunction =
      std::function<SeedList::DataCentre(const SeedList::DataCentre& listed)>;
  using ReadCallback = std::function<void(const SeedList&)>;

  SeedListUpdater(std::string data_centre,
                  ThrottledStoreClient* store,
                  const Clock* clock,
                  Random* random,
                  Logger* logger,
                  OwnEntryFunction own_entry,
                  ReadCallback on_read);

  // `isolated` is true while no link is up.
  void Tick(bool isolated, bool designated_watcher);
  // Lets the next tick read the list if no read has been answered yet. Called
  // when the store answers again, so that the backoff of failed reads does not
  // delay the search for peers.
  void OnStoreResponse();
  // Whether the store has responded to a read since the start.
  bool has_response() const { return has_response_; }

 private:
  // Whether the store has come back from an older copy since the last call.
  bool WasStoreRestored();
  // Whether the entry of the own data centre that was read or written last
  // differs from the one that this node would write. Compares them at most
  // every kCheckInterval, and reports a difference once.
  bool TakeOwnEntryOutdated();
  void Read();
  void OnRead(const StoreObject& object);

  const std::string data_centre_;
  ThrottledStoreClient* const store_;
  const Clock* const clock_;
  Random* const random_;
  Logger* const logger_;
  const OwnEntryFunction own_entry_;
  const ReadCallback on_read_;
  std::optional<uint64_t> era_;
  bool has_response_ = false;
  bool reading_ = false;
  bool isolated_ = false;
  bool designated_watcher_ = false;
  TimePoint next_read_;
  TimePoint next_write_;
  TimePoint next_check_;
  // The entry of the own data centre that was read or written last. nullopt
  // before the first read, and until the next one after a difference was found,
  // so that reads that fail are repeated with backoff.
  std::optional<SeedList::DataCentre> listed_;
  Backoff update_backoff_{kMinUpdateInterval, kMaxUpdateInterval};
  // A node without links reads the list more often.
  Backoff isolated_backoff_{Milliseconds(500), Milliseconds(10'000)};
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_DISTRIBUTION_SEED_LIST_UPDATER_H_
