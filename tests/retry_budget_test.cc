#include "routing/retry_budget.h"

#include <algorithm>
#include <vector>

#include <criterion/criterion.h>

#include "dragonflytack/base/manual_clock.h"

namespace dragonflytack {

// Guards against retries beyond 10% of the calls plus 3 per second.
Test(retry_budget, bounds_retries_by_calls_and_time) {
  ManualClock clock;
  RetryBudget budget(&clock);
  int taken = 0;
  constexpr int kSeconds = 10;
  for (int i = 0; i < kSeconds * 100; ++i) {
    clock.Advance(Milliseconds(10));
    budget.OnCall();
    taken += budget.TryTake() ? 1 : 0;
  }
  const int bound = kSeconds * (10 + 3) + 10;
  cr_assert(taken <= bound && taken >= bound - 2, "%d", taken);
}

// Guards against retries of a service beyond its share when the targets that
// call it are themselves running retries.
Test(retry_budget, calls_made_by_retried_calls_count_as_retries) {
  ManualClock clock;
  for (const double retry_share : {0.0, 0.05, 0.1, 0.3}) {
    RetryBudget budget(&clock);
    budget.set_limits({0.1, 0, 10});
    constexpr int kCalls = 1000;
    int taken = 0;
    for (int i = 0; i < kCalls; ++i) {
      budget.OnCall(retry_share);
      taken += budget.TryTake() ? 1 : 0;
    }
    cr_expect(taken + retry_share * kCalls <=
                  std::max(0.1, retry_share) * kCalls + 10,
              "%f: %d", retry_share, taken);
  }
}

namespace {

constexpr int kLevels = 9;

// A chain of services in which each level calls the next and the last call
// always fails. If `respects_retried` is true, a level does not retry a call
// whose response has the header x-retried.
struct CallChain {
  bool Call(int level) {
    if (level == kLevels) {
      ++calls_at_last_level;
      return false;
    }
    budgets[level].OnCall();
    const bool retried = Call(level + 1);
    if (retried && respects_retried) {
      return true;
    }
    if (budgets[level].TryTake()) {
      Call(level + 1);
    }
    // A level without budget marks the response too. Otherwise the level above
    // would spend its own budget on it, and 1.1 to the ninth power is 2.4.
    return true;
  }

  bool respects_retried;
  std::vector<RetryBudget> budgets;
  int calls_at_last_level = 0;
};

}  // namespace

// Guards against retries that multiply over nine levels: two attempts at each
// would make 512 calls out of one.
Test(retry_budget, nine_levels_do_not_multiply_retries) {
  ManualClock clock;
  constexpr int kCalls = 1000;
  for (const bool respected : {true, false}) {
    CallChain chain{respected,
                    std::vector<RetryBudget>(kLevels, RetryBudget(&clock))};
    for (int i = 0; i < kCalls; ++i) {
      clock.Advance(Milliseconds(1));
      chain.Call(0);
    }
    // With the header only one level retries: 10% of the calls, 3 tokens for
    // the one second that passes and 10 initial tokens. Without the header the
    // budgets of all levels add up.
    const bool bounded = chain.calls_at_last_level <= kCalls * 1.1 + 13;
    cr_expect_eq(bounded, respected, "%d: %d", respected ? 1 : 0,
                 chain.calls_at_last_level);
  }
}

}  // namespace dragonflytack
