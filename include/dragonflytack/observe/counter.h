#ifndef DRAGONFLYTACK_OBSERVE_COUNTER_H_
#define DRAGONFLYTACK_OBSERVE_COUNTER_H_

#include <atomic>
#include <cstdint>

namespace dragonflytack {

// A metric that only increases. Safe to use from every thread.
class Counter final {
 public:
  void Add(uint64_t by = 1) { value_.fetch_add(by, std::memory_order_relaxed); }
  uint64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<uint64_t> value_{0};
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_OBSERVE_COUNTER_H_
