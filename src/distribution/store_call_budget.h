#ifndef DRAGONFLYTACK_SRC_DISTRIBUTION_CALL_BUDGET_H_
#define DRAGONFLYTACK_SRC_DISTRIBUTION_CALL_BUDGET_H_

#include <algorithm>

#include "dragonflytack/base/clock.h"

namespace dragonflytack {

// Bounds the calls of one node to the store, whatever their cause: a burst of
// kBurst calls, then kPerSecond.
class StoreCallBudget final {
 public:
  static constexpr double kBurst = 20;
  static constexpr double kPerSecond = 5;

  bool Take(TimePoint now) {
    const std::chrono::duration<double> passed = now - last_;
    last_ = now;
    tokens_ = std::min(kBurst, tokens_ + passed.count() * kPerSecond);
    if (tokens_ < 1) {
      return false;
    }
    tokens_ -= 1;
    return true;
  }

 private:
  double tokens_ = kBurst;
  TimePoint last_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_DISTRIBUTION_CALL_BUDGET_H_
