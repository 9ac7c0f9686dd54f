#include "accounts/allowance_ledger.h"

#include <criterion/criterion.h>

#include "dragonflytack/base/manual_clock.h"

namespace dragonflytack {

namespace {

constexpr AllowanceBounds kBounds{Milliseconds(5'000), 0.1, 20};

// A node with calls every 100 ms that asks for one permit each.
class Caller final {
 public:
  // Returns how many of `calls` calls were permitted.
  uint32_t Ask(const AllowanceLimit& limit, uint32_t calls) {
    clock_.Advance(Milliseconds(100));
    AllowanceReport report;
    report.account = "a";
    report.limit = limit;
    report.used = used_;
    report.waiting = calls;
    const AllowanceResponse response =
        ledger_.OnRequest({"n", 1, ++sequence_, {report}}, clock_.Now());
    used_ = response.grants.at(0).permits;
    return used_;
  }

 private:
  ManualClock clock_;
  AllowanceLedger ledger_{"home", kBounds};
  uint64_t sequence_ = 0;
  uint32_t used_ = 0;
};

}  // namespace

// Guards against an account that gets no call through after its limit was
// lowered until its earlier calls have left the window, and against a lower
// limit that is not in force one window later.
Test(allowance_ledger, lower_limit_replaces_the_former_one_within_a_window) {
  constexpr uint32_t kBefore = 24;
  constexpr uint32_t kAfter = 3;
  constexpr int kStepsOfWindow = 50;
  const AllowanceLimit former{1, 300, 0};
  const AllowanceLimit lower{2, 60, 0};
  Caller caller;
  for (int i = 0; i < kStepsOfWindow; ++i) {
    cr_assert_eq(caller.Ask(former, kBefore), kBefore);
  }
  for (int i = 0; i < 2 * kStepsOfWindow; ++i) {
    cr_assert_eq(caller.Ask(lower, kAfter), kAfter, "after %d00 ms", i);
  }
  Caller other;
  uint32_t late = 0;
  for (int i = 0; i < 3 * kStepsOfWindow; ++i) {
    const uint32_t permitted =
        other.Ask(i < kStepsOfWindow ? former : lower, kBefore);
    late += i >= 2 * kStepsOfWindow ? permitted : 0;
  }
  const double bound = lower.Base(kBounds) + lower.Margin(kBounds);
  cr_expect(late <= bound, "%u calls", late);
}

}  // namespace dragonflytack
