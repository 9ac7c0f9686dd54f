#ifndef DRAGONFLYTACK_SRC_DISTRIBUTION_STORE_CALL_BUDGET_H_
#define DRAGONFLYTACK_SRC_DISTRIBUTION_STORE_CALL_BUDGET_H_

#include <algorithm>

#include "dragonflytack/base/clock.h"

namespace dragonflytack {

// Token bucket for all calls of one node to the store: a burst of kBurstCalls,
// then kCallsPerSecond.
class StoreCallBudget final {
 public:
  static constexpr double kBurstCalls = 20;
  static constexpr double kCallsPerSecond = 5;

  bool TryAcquire(TimePoint now) {
    const std::chrono::duration<double> elapsed = now - last_refill_;
    last_refill_ = now;
    tokens_ =
        std::min(kBurstCalls, tokens_ + elapsed.count() * kCallsPerSecond);
    if (tokens_ < 1) {
      return false;
    }
    tokens_ -= 1;
    return true;
  }

 private:
  double tokens_ = kBurstCalls;
  TimePoint last_refill_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_DISTRIBUTION_STORE_CALL_BUDGET_H_
