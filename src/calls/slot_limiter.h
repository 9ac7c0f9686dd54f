#ifndef DRAGONFLYTACK_SRC_CALLS_SLOT_LIMITER_H_
#define DRAGONFLYTACK_SRC_CALLS_SLOT_LIMITER_H_

#include <chrono>
#include <cstdint>

namespace dragonflytack {

// Limits the calls that the local target runs at a time and keeps the average
// time of a call.
class SlotLimiter final {
 public:
  // A smaller limit takes effect as running calls end.
  void set_limit(int limit) { limit_ = limit; }
  int limit() const { return limit_; }
  int in_use() const { return in_use_; }

  // Takes a slot. Returns whether one was free.
  bool TryTake();

  void Release() { --in_use_; }

  // Counts the time of a call that used a slot.
  void RecordTime(std::chrono::nanoseconds time);

  // Average time of a call, zero before the first one ended.
  std::chrono::nanoseconds average() const {
    return std::chrono::nanoseconds(static_cast<int64_t>(average_ns_));
  }

  // Expected time until a call would end that has `ahead` calls before it in
  // the queue while all slots are in use. Zero before the first call ended.
  std::chrono::nanoseconds ExpectedTime(int ahead) const;

 private:
  int limit_ = 1;
  int in_use_ = 0;
  double average_ns_ = 0;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_CALLS_SLOT_LIMITER_H_
