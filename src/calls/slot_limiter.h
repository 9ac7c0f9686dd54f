#ifndef DRAGONFLYTACK_SRC_CALLS_SLOT_LIMITER_H_
#define DRAGONFLYTACK_SRC_CALLS_SLOT_LIMITER_H_

#include <chrono>
#include <cstdint>

namespace dragonflytack {

// Limits the calls that the local target runs at a time, and averages their run
// time.
class SlotLimiter final {
 public:
  // A lower limit takes effect as running calls end.
  void set_limit(int limit) { limit_ = limit; }
  int limit() const { return limit_; }
  int in_use() const { return in_use_; }
  bool has_free() const { return in_use_ < limit_; }

  // Takes a slot. Returns false if none is free.
  bool TryTake();

  void Release() { --in_use_; }

  // Adds the run time of a call to the average.
  void RecordRunTime(std::chrono::nanoseconds run_time);

  // Returns the average run time, zero before the first call ended.
  std::chrono::nanoseconds average_run_time() const {
    return std::chrono::nanoseconds(static_cast<int64_t>(average_run_time_ns_));
  }

  // Returns the expected time until the end of a call that has `ahead` calls
  // before it in the queue while all slots are in use; zero before the first
  // call ended.
  std::chrono::nanoseconds ExpectedLatency(int ahead) const;

 private:
  int limit_ = 1;
  int in_use_ = 0;
  double average_run_time_ns_ = 0;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_CALLS_SLOT_LIMITER_H_
