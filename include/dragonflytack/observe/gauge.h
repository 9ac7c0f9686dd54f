#ifndef DRAGONFLYTACK_OBSERVE_GAUGE_H_
#define DRAGONFLYTACK_OBSERVE_GAUGE_H_

#include <atomic>
#include <cstdint>

namespace dragonflytack {

// A metric that can increase and decrease. Safe to use from every thread.
class Gauge final {
 public:
  void Set(int64_t value) { value_.store(value, std::memory_order_relaxed); }
  void Add(int64_t by) { value_.fetch_add(by, std::memory_order_relaxed); }
  int64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<int64_t> value_{0};
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_OBSERVE_GAUGE_H_
