#ifndef DRAGONFLYTACK_SRC_DISTRIBUTION_SEED_KEEPER_H_
#define DRAGONFLYTACK_SRC_DISTRIBUTION_SEED_KEEPER_H_

#include <functional>
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

// Reads the store object "seeds" while this node needs peers, and maintains its
// own data centre's part while this node is a speaker.
class SeedListUpdater final {
 public:
  static constexpr Milliseconds kInterval{60'000};
  static constexpr Milliseconds kConflictDelay{1'000};

  // Returns the peers to list for the own data centre, given those listed.
  using ListFunction =
      std::function<SeedList::DataCentre(const SeedList::DataCentre& listed)>;
  using ReadCallback = std::function<void(const SeedList&)>;

  SeedListUpdater(std::string data_centre,
                  ThrottledStoreClient* store,
                  const Clock* clock,
                  Random* random,
                  Logger* logger,
                  ListFunction list,
                  ReadCallback on_read);

  // `alone` is true while no link is up.
  void Tick(bool alone, bool designated_watcher);
  // Whether an answer has come since the start.
  bool answered() const { return answered_; }

 private:
  void Read();
  void OnRead(const StoreObject& object);

  const std::string data_centre_;
  ThrottledStoreClient* const store_;
  const Clock* const clock_;
  Random* const random_;
  Logger* const logger_;
  const ListFunction list_;
  const ReadCallback on_read_;
  bool answered_ = false;
  bool reading_ = false;
  bool alone_ = false;
  bool designated_watcher_ = false;
  TimePoint next_read_;
  TimePoint next_write_;
  // A node without links looks for others more often.
  Backoff alone_backoff_{Milliseconds(500), Milliseconds(10'000)};
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_DISTRIBUTION_SEED_KEEPER_H_
