#ifndef DRAGONFLYTACK_SRC_ROUTING_RETRY_BUDGET_H_
#define DRAGONFLYTACK_SRC_ROUTING_RETRY_BUDGET_H_

#include "dragonflytack/base/clock.h"

namespace dragonflytack {

// Limits the retries of one service to a share of its calls plus a few a
// second, so that retries cannot multiply an overload.
class RetryBudget final {
 public:
  static constexpr double kShareOfCalls = 0.1;
  static constexpr double kPerSecond = 3;
  // Unused retries are kept up to this number, enough for the failures before
  // an ejection. A new service starts with it.
  static constexpr double kMaxSaved = 10;

  // `clock` must outlive the budget.
  explicit RetryBudget(const Clock* clock)
      : clock_(clock), refilled_(clock->Now()) {}

  void OnCall();

  // Takes one retry from the budget. Returns whether there was one.
  bool TryTake();

 private:
  void Refill();

  const Clock* const clock_;
  TimePoint refilled_;
  double saved_ = kMaxSaved;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_ROUTING_RETRY_BUDGET_H_
