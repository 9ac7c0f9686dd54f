#ifndef DRAGONFLYTACK_SRC_ROUTING_RETRY_BUDGET_H_
#define DRAGONFLYTACK_SRC_ROUTING_RETRY_BUDGET_H_

#include "dragonflytack/base/clock.h"

namespace dragonflytack {

// Limits the retries of one service to a share of its calls plus a few a
// second, so that retries cannot multiply an overload.
class RetryBudget final {
 public:
  // What one node may repeat.
  struct Limits {
    double share_of_calls = 0.1;
    double per_second = 3;
    // Unused retries are kept up to this number. A new service starts with it.
    double max_saved = 10;
  };

  // `clock` must outlive the budget.
  explicit RetryBudget(const Clock* clock)
      : clock_(clock), refilled_(clock->Now()) {}

  void set_limits(const Limits& limits);

  // Takes note of a call. `repeated` is the probability that the target that
  // makes it runs a repetition itself; its calls are then repetitions too.
  void OnCall(double repeated = 0);

  // Takes one retry from the budget. Returns whether there was one.
  bool TryTake();

 private:
  void Refill();

  const Clock* const clock_;
  TimePoint refilled_;
  Limits limits_;
  double saved_ = limits_.max_saved;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_ROUTING_RETRY_BUDGET_H_
