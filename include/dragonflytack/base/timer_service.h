#ifndef DRAGONFLYTACK_BASE_TIMER_SERVICE_H_
#define DRAGONFLYTACK_BASE_TIMER_SERVICE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>

#include "dragonflytack/base/clock.h"

namespace dragonflytack {

using TimerId = uint64_t;

// Runs callbacks when they are due. It belongs to one task: all its functions
// must be called on that task's thread. An event loop or a test drives it
// through RunDue(); no callback is called from within another function.
class TimerService final {
 public:
  using Callback = std::function<void()>;

  // `clock` must outlive the service.
  explicit TimerService(const Clock* clock);
  TimerService(const TimerService&) = delete;
  TimerService& operator=(const TimerService&) = delete;

  // Calls `callback` once, `delay` from now.
  TimerId SubscribeOnce(Milliseconds delay, Callback callback);

  // Calls `callback` every `period`, starting one period from now. If several
  // periods pass before RunDue(), for example while the process is paused,
  // `callback` runs once for all of them.
  TimerId SubscribeEvery(Milliseconds period, Callback callback);

  // Removes a subscription. Unknown ids are ignored. A callback may add
  // subscriptions and cancel any, its own included; one that is cancelled is
  // not called even if it is due in the same RunDue().
  void Cancel(TimerId id);

  // Runs every callback that is due and returns how many were run.
  int RunDue();

  // Returns the time of the earliest subscription, or std::nullopt if there is
  // none.
  std::optional<TimePoint> NextDue() const;

  // Sets the function that is called whenever NextDue() may have become
  // earlier, so that an event loop can update its timer. It is called from
  // within the functions that subscribe and must not change subscriptions.
  void set_on_changed(Callback on_changed) {
    on_changed_ = std::move(on_changed);
  }

  const Clock& clock() const { return *clock_; }

 private:
  struct Subscription {
    TimePoint due;
    Milliseconds period;
    Callback callback;
  };

  TimerId Add(Milliseconds delay, Milliseconds period, Callback callback);

  const Clock* const clock_;
  TimerId next_id_ = 1;
  std::unordered_map<TimerId, Subscription> subscriptions_;
  std::multimap<TimePoint, TimerId> due_;
  Callback on_changed_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_BASE_TIMER_SERVICE_H_
