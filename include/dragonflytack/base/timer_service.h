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

// Calls subscribers when their time has come. It belongs to one task: all its
// functions are called on that task's thread. An event loop or a test drives it
// through RunDue().
class TimerService final {
 public:
  using Callback = std::function<void()>;

  // `clock` must outlive the service.
  explicit TimerService(const Clock* clock);
  TimerService(const TimerService&) = delete;
  TimerService& operator=(const TimerService&) = delete;

  // Calls `callback` once, `delay` from now.
  TimerId SubscribeOnce(Milliseconds delay, Callback callback);

  // Calls `callback` every `period`, first one period from now. Periods that
  // were missed during a pause of the process are skipped, not made up for.
  TimerId SubscribeEvery(Milliseconds period, Callback callback);

  // Removes a subscription. Unknown ids are ignored, and a callback may cancel
  // itself.
  void Cancel(TimerId id);

  // Calls every subscriber that is due and returns how many were called.
  int RunDue();

  // Returns the time of the earliest subscription, nothing when there is none.
  std::optional<TimePoint> NextDue() const;

  // Called whenever NextDue() may have become earlier, so that a loop can set
  // its wake-up.
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
