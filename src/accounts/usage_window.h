#ifndef DRAGONFLYTACK_SRC_ACCOUNTS_USAGE_WINDOW_H_
#define DRAGONFLYTACK_SRC_ACCOUNTS_USAGE_WINDOW_H_

#include <array>
#include <cstdint>

#include "accounts/allowance_message.h"
#include "dragonflytack/base/clock.h"

namespace dragonflytack {

// Number of calls in a sliding window, counted by slots. A call counts for at
// least the window and at most one slot longer.
class UsageWindow final {
 public:
  static constexpr int kSlots = 20;

  explicit UsageWindow(Milliseconds window);

  void Add(double count, TimePoint now);
  // Returns the calls of the window that were made since `begin`.
  double TotalSince(TimePoint begin, TimePoint now);
  // Returns the time until at least one call leaves the window; the whole
  // window if there is none.
  Milliseconds UntilNextLeaves(TimePoint now);

  UsageCounts Counts(TimePoint now);
  // Adds `counts`, which are `age` old. Each count is attributed to the latest
  // time at which its calls may have been made.
  void AddCounts(const UsageCounts& counts, Milliseconds age, TimePoint now);
  // Adds calls at a uniform rate before the current slot.
  void AddUniformly(double calls_per_window, TimePoint now);
  void Clear() { counts_.fill(0); }
  // Moves the calls of `other` to this window.
  void TakeFrom(UsageWindow* other, TimePoint now);

 private:
  // With the current slot, so that the oldest one has left the window entirely
  // before it is dropped.
  static constexpr int kSize = kSlots + 1;

  int64_t SlotOf(TimePoint time) const;
  // Drops the slots that have left the window.
  void Advance(TimePoint now);
  double& Slot(int64_t number) { return counts_[number % kSize]; }

  const TimePoint::duration slot_;
  int64_t newest_ = 0;
  std::array<double, kSize> counts_{};
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_ACCOUNTS_USAGE_WINDOW_H_
