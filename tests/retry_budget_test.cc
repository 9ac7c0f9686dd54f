#include "routing/retry_budget.h"

#include <algorithm>
#include <vector>

#include <criterion/criterion.h>

#include "dragonflytack/base/manual_clock.h"

namespace dragonflytack {

// Guards against retries beyond 10% of the calls plus 3 a second.
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

// Guards against a service that is repeated beyond its share because the
// targets that call it run repetitions themselves.
Test(retry_budget, calls_of_repeated_runs_use_it_up) {
  ManualClock clock;
  for (const double repeated : {0.0, 0.05, 0.1, 0.3}) {
    RetryBudget budget(&clock);
    budget.set_limits({0.1, 0, 10});
    constexpr int kCalls = 1000;
    int taken = 0;
    for (int i = 0; i < kCalls; ++i) {
      budget.OnCall(repeated);
      taken += budget.TryTake() ? 1 : 0;
    }
    cr_expect(
        taken + repeated * kCalls <= std::max(0.1, repeated) * kCalls + 10,
        "%f: %d", repeated, taken);
  }
}

namespace {

constexpr int kLevels = 9;

// A call at one of the levels; each level calls the next, and the last one
// fails always. `retried_is_seen` says whether levels respect x-retried.
struct Chain {
  bool Call(int level) {
    if (level == kLevels) {
      ++calls_at_end;
      return false;
    }
    budgets[level].OnCall();
    const bool retried = Call(level + 1);
    if (retried && retried_is_seen) {
      return true;
    }
    if (budgets[level].TryTake()) {
      Call(level + 1);
    }
    // A level without budget marks the answer too. Otherwise the level above
    // would spend its own budget on it, and 1.1 to the ninth power is 2.4.
    return true;
  }

  bool retried_is_seen;
  std::vector<RetryBudget> budgets;
  int calls_at_end = 0;
};

}  // namespace

// Guards against retries that multiply over nine levels: two attempts at each
// would make 512 calls out of one.
Test(retry_budget, nine_levels_do_not_multiply_retries) {
  ManualClock clock;
  constexpr int kCalls = 1000;
  for (const bool seen : {true, false}) {
    Chain chain{seen, std::vector<RetryBudget>(kLevels, RetryBudget(&clock))};
    for (int i = 0; i < kCalls; ++i) {
      clock.Advance(Milliseconds(1));
      chain.Call(0);
    }
    // With the header one level alone retries: 10%, 3 for the second, 10 saved.
    // Without it the budgets of all levels would add up.
    const bool bounded = chain.calls_at_end <= kCalls * 1.1 + 13;
    cr_expect_eq(bounded, seen, "%d: %d", seen ? 1 : 0, chain.calls_at_end);
  }
}

}  // namespace dragonflytack
