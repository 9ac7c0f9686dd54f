#include "dragonflytack/base/timer_service.h"

#include <vector>

#include <criterion/criterion.h>

#include "dragonflytack/base/manual_clock.h"

namespace dragonflytack {

// Guards against callbacks that run early or in the wrong order.
Test(timer_service, runs_due_callbacks_in_order_of_time) {
  ManualClock clock;
  TimerService timers(&clock);
  std::vector<int> calls;
  timers.SubscribeOnce(Milliseconds(20), [&] { calls.push_back(2); });
  timers.SubscribeOnce(Milliseconds(10), [&] { calls.push_back(1); });
  cr_assert_eq(timers.RunDue(), 0);
  clock.Advance(Milliseconds(20));
  cr_assert_eq(timers.RunDue(), 2);
  cr_assert(calls == (std::vector<int>{1, 2}));
}

// Guards against a burst of callbacks after the process was paused.
Test(timer_service, skips_periods_missed_during_a_pause) {
  ManualClock clock;
  TimerService timers(&clock);
  int calls = 0;
  timers.SubscribeEvery(Milliseconds(100), [&] { ++calls; });
  clock.Advance(Milliseconds(60'000));
  timers.RunDue();
  cr_assert_eq(calls, 1);
  cr_assert(timers.NextDue() == clock.Now() + Milliseconds(100));
}

// Guards against the use of a subscription after its callback has cancelled it.
Test(timer_service, callback_may_cancel_itself_and_others) {
  ManualClock clock;
  TimerService timers(&clock);
  int calls = 0;
  TimerId periodic = 0;
  periodic = timers.SubscribeEvery(Milliseconds(1), [&] {
    ++calls;
    timers.Cancel(periodic);
  });
  TimerId second = 0;
  timers.SubscribeOnce(Milliseconds(2), [&] { timers.Cancel(second); });
  second = timers.SubscribeOnce(Milliseconds(3), [&] { calls += 100; });
  clock.Advance(Milliseconds(3));
  timers.RunDue();
  clock.Advance(Milliseconds(3));
  timers.RunDue();
  cr_assert_eq(calls, 1);
}

}  // namespace dragonflytack
