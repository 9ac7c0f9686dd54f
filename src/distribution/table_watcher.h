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
// designated watcher, and fetches the object if no peer has pushed it in time.
class TableWatcher final {
 public:
  // Returns the highest version that is held or was refused and therefore need
  // not be fetched.
  using ProcessedVersionFunction = std::function<StoreVersion()>;
  using ObjectCallback = std::function<void(const StoreObject&)>;
  using VersionCallback = std::function<void(StoreVersion)>;

  static constexpr Milliseconds kWatchTimeout{30'000};
  static constexpr Milliseconds kMinBackoff{200};
  // An edit must be in force within 6 s, also right after an outage of the
  // store. 22 designated watchers that retry every 2 s make 11 calls/s.
  static constexpr Milliseconds kMaxBackoff{2'000};

  static constexpr Milliseconds kMinStandbyBackoff{8'000};
  static constexpr Milliseconds kMaxStandbyBackoff{16'000};

  TableWatcher(ThrottledStoreClient* store,
               TimerService* timers,
               Random* random,
               ProcessedVersionFunction processed_version,
               VersionCallback on_version,
               ObjectCallback on_object,
               std::function<void()> on_served_changed = {});
  ~TableWatcher();
  TableWatcher(const TableWatcher&) = delete;
  TableWatcher& operator=(const TableWatcher&) = delete;

  // Requests the version once, with retries until the store responds.
  void Probe();
  // Starts or stops watching. `fetch_delay` is how long this node waits for a
  // push of a new version before it fetches the object. A standby watcher
  // retries after longer intervals: if the store does not serve it either,
  // another one takes its place, or the store serves nobody.
  void SetActive(bool active, bool is_standby, Milliseconds fetch_delay);
  // Whether this node watches, but the store did not serve the last watch: it
  // rejected it, did not respond, or was not reached.
  bool is_failing() const { return state_ == State::kFailing; }
  // Whether the store has responded to the last watch.
  bool is_served() const { return state_ == State::kServed; }
  // Fetches the object now unless a fetch is in progress. Failures are retried
  // only while `still_needed` returns true.
  void Fetch(std::function<bool()> still_needed);

 private:
  // Of the watch; kUnknown before the first response.
  enum class State { kUnknown, kServed, kFailing };

  void StartWatch();
  void SetState(State state);
  void OnWatchResponse(uint64_t generation,
                       bool succeeded,
                       StoreVersion version,
                       TimePoint started_at);
  // Delivers the object if the response to the watch already contained it.
  void TakePrefetched();
  void ScheduleFetch();
  // Replaces the pending timer, if any, by one that runs `action` after
  // `delay`.
  void RestartTimer(TimerId* timer,
                    Milliseconds delay,
                    std::function<void()> action);

  ThrottledStoreClient* const store_;
  TimerService* const timers_;
  Random* const random_;
  const ProcessedVersionFunction processed_version_;
  const VersionCallback on_version_;
  const ObjectCallback on_object_;
  // Called when is_failing() or is_served() changes; may be empty.
  const std::function<void()> on_served_changed_;
  bool probed_ = false;
  // Whether the last watch failed. The next one then has a wait time of 0, so
  // that the end of an outage is noticed immediately rather than at the next
  // change.
  bool last_watch_failed_ = false;
  bool active_ = false;
  bool is_standby_ = false;
  State state_ = State::kUnknown;
  bool fetching_ = false;
  Milliseconds fetch_delay_{0};
  // Incremented on each start and stop, so that responses to earlier watches
  // are ignored.
  uint64_t generation_ = 0;
  // Highest version reported by the store.
  StoreVersion store_version_ = 0;
  Backoff probe_backoff_{kMinBackoff, kMaxBackoff};
  Backoff watch_backoff_{kMinBackoff, kMaxBackoff};
  Backoff standby_backoff_{kMinStandbyBackoff, kMaxStandbyBackoff};
  Backoff fetch_backoff_{kMinBackoff, kMaxBackoff};
  TimerId probe_timer_ = 0;
  TimerId watch_timer_ = 0;
  TimerId fetch_timer_ = 0;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_DISTRIBUTION_TABLE_WATCHER_H_
