#ifndef DRAGONFLYTACK_SRC_DISTRIBUTION_TABLE_WATCHER_H_
#define DRAGONFLYTACK_SRC_DISTRIBUTION_TABLE_WATCHER_H_

#include <cstdint>
#include <functional>

#include "distribution/backoff.h"
#include "dragonflytack/base/clock.h"
#include "dragonflytack/base/timer_service.h"
#include "dragonflytack/store/store_object.h"

namespace dragonflytack {

class Random;
class ThrottledStoreClient;

// Watches the version of the store's object "table" while this node is a
// speaker, and fetches the object when nobody else has sent it in time.
class TableWatcher final {
 public:
  // Highest version that need not be fetched: held or refused.
  using KnownFunction = std::function<StoreVersion()>;
  using ObjectCallback = std::function<void(const StoreObject&)>;
  using VersionCallback = std::function<void(StoreVersion)>;

  static constexpr Milliseconds kWatchTimeout{30'000};
  static constexpr Milliseconds kMinBackoff{200};
  // An edit must be in force within 6 s, also right after an outage of the
  // store. 22 speakers that try every 2 s are 11 calls/s.
  static constexpr Milliseconds kMaxBackoff{2'000};

  TableWatcher(ThrottledStoreClient* store,
               TimerService* timers,
               Random* random,
               KnownFunction known,
               VersionCallback on_version,
               ObjectCallback on_object);
  ~TableWatcher();
  TableWatcher(const TableWatcher&) = delete;
  TableWatcher& operator=(const TableWatcher&) = delete;

  // Asks once for the version, with retries until it is answered.
  void Probe();
  // Begins or ends watching. `fetch_delay` is the time that the push has to
  // arrive before this node fetches.
  void SetActive(bool active, Milliseconds fetch_delay);
  // Fetches the object now unless a fetch is under way; failures are retried
  // only while `wanted` returns true.
  void Fetch(std::function<bool()> wanted);

 private:
  void StartWatch();
  void OnWatch(uint64_t generation,
               bool answered,
               StoreVersion version,
               TimePoint asked);
  // Takes the object when an answer brought it along.
  void TakePrefetched();
  void ScheduleFetch();
  void After(TimerId* timer, Milliseconds delay, std::function<void()> action);

  ThrottledStoreClient* const store_;
  TimerService* const timers_;
  Random* const random_;
  const KnownFunction known_;
  const VersionCallback on_version_;
  const ObjectCallback on_object_;
  bool probed_ = false;
  // The last watch got no answer. The next one does not wait for a change, so
  // that the return of the store shows at once.
  bool unanswered_ = false;
  bool active_ = false;
  bool fetching_ = false;
  Milliseconds fetch_delay_{0};
  // Distinguishes the present watch from those begun before a stop.
  uint64_t generation_ = 0;
  // Highest version the store has named.
  StoreVersion named_ = 0;
  Backoff probe_backoff_{kMinBackoff, kMaxBackoff};
  Backoff watch_backoff_{kMinBackoff, kMaxBackoff};
  Backoff fetch_backoff_{kMinBackoff, kMaxBackoff};
  TimerId probe_timer_ = 0;
  TimerId watch_timer_ = 0;
  TimerId fetch_timer_ = 0;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_DISTRIBUTION_TABLE_WATCHER_H_
