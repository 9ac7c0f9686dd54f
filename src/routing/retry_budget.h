#ifndef DRAGONFLYTACK_SRC_ROUTING_RETRY_BUDGET_H_
#define DRAGONFLYTACK_SRC_ROUTING_RETRY_BUDGET_H_

#include "dragonflytack/base/clock.h"

namespace dragonflytack {

// Token bucket that limits the retries of one service to a share of its calls
// plus a fixed rate, so that retries cannot amplify an overload.
class RetryBudget final {
 public:
  // Limits of one node.
  struct Limits {
    double tokens_per_call = 0.1;
    double tokens_per_second = 3;
    // Capacity of the bucket. A new budget starts full.
    double max_tokens = 10;
  };

  // `clock` must outlive the budget.
  explicit RetryBudget(const Clock* clock)
      : clock_(clock), last_refill_(clock->Now()) {}

  void set_limits(const Limits& limits);

  // Records a call. `retry_share` is the probability that the target that makes
  // the call is itself running a retry; the call then counts as a retry too.
  void OnCall(double retry_share = 0);

  // Takes one token for a retry. Returns false if less than one is left.
  bool TryTake();

 private:
  void Refill();

  const Clock* const clock_;
  TimePoint last_refill_;
  Limits limits_;
  double tokens_ = limits_.max_tokens;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_ROUTING_RETRY_BUDGET_H_
