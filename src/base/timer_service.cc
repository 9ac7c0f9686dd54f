#include "dragonflytack/base/timer_service.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace dragonflytack {

TimerService::TimerService(const Clock* clock) : clock_(clock) {}

TimerId TimerService::SubscribeOnce(Milliseconds delay, Callback callback) {
  return Add(delay, Milliseconds::zero(), std::move(callback));
}

TimerId TimerService::SubscribeEvery(Milliseconds period, Callback callback) {
  return Add(period, period, std::move(callback));
}

TimerId TimerService::Add(Milliseconds delay,
                          Milliseconds period,
                          Callback callback) {
  const TimerId id = next_id_++;
  const TimePoint due = clock_->Now() + delay;
  subscriptions_[id] = Subscription{due, period, std::move(callback)};
  due_.emplace(due, id);
  if (on_changed_) {
    on_changed_();
  }
  return id;
}

void TimerService::Cancel(TimerId id) {
  const auto found = subscriptions_.find(id);
  if (found == subscriptions_.end()) {
    return;
  }
  const auto [first, last] = due_.equal_range(found->second.due);
  const auto entry = std::find_if(
      first, last, [id](const auto& item) { return item.second == id; });
  if (entry != last) {
    due_.erase(entry);
  }
  subscriptions_.erase(found);
}

int TimerService::RunDue() {
  const TimePoint now = clock_->Now();
  std::vector<TimerId> ready;
  for (const auto& [due, id] : due_) {
    if (due > now) {
      break;
    }
    ready.push_back(id);
  }
  int called = 0;
  for (const TimerId id : ready) {
    const auto found = subscriptions_.find(id);
    if (found == subscriptions_.end()) {
      continue;  // Cancelled by an earlier callback of this run.
    }
    // The callback is copied because it may cancel its own subscription.
    const Callback callback = found->second.callback;
    const Milliseconds period = found->second.period;
    Cancel(id);
    if (period > Milliseconds::zero()) {
      subscriptions_[id] = Subscription{now + period, period, callback};
      due_.emplace(now + period, id);
    }
    callback();
    ++called;
  }
  return called;
}

std::optional<TimePoint> TimerService::NextDue() const {
  if (due_.empty()) {
    return std::nullopt;
  }
  return due_.begin()->first;
}

}  // namespace dragonflytack
