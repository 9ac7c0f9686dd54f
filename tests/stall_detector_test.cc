#include "admission/stall_detector.h"

#include <chrono>
#include <vector>

#include <criterion/criterion.h>

namespace dragonflytack {

namespace {

constexpr Milliseconds kLikely{300};

TimePoint At(int ms) {
  return TimePoint() + std::chrono::hours(1) + Milliseconds(ms);
}

}  // namespace

// Guards against waiting calls that take the slots of a target which hangs, one
// after the other until their deadlines.
Test(stall_detector, target_that_responds_to_none_of_its_calls_is_stalled) {
  StallDetector detector;
  for (int i = 0; i < 18; ++i) {
    detector.OnStart(kLikely, At(i));
  }
  cr_assert(detector.StallsAt() == At(602));
  cr_assert_not(detector.Update(At(601)));
  cr_assert(detector.Update(At(602)));
  cr_assert_not(detector.Update(At(603)));
  cr_assert(detector.is_stalled());
  cr_assert_eq(detector.Silence(At(602)).count(), 602);
}

// Guards against a stall that is detected at a target which only has calls that
// take unusually long, or is slow but responds.
Test(stall_detector, working_target_is_not_stalled) {
  StallDetector few;
  few.OnStart(kLikely, At(0));
  few.OnStart(kLikely, At(0));
  cr_assert_not(few.Update(At(60'000)));

  StallDetector unknown;
  for (int i = 0; i < 18; ++i) {
    unknown.OnStart(std::chrono::nanoseconds(0), At(0));
  }
  cr_assert_not(unknown.Update(At(60'000)));

  // Each of 18 slots takes five times as long as usual, so that a call ends
  // every 80 ms.
  StallDetector slow;
  std::vector<StallDetector::RunId> runs;
  for (int i = 0; i < 200; ++i) {
    cr_assert_not(slow.Update(At(i * 80)), "%d", i);
    const StallDetector::RunId ended =
        i < 18 ? slow.OnStart(kLikely, At(i * 80)) : runs[i - 18];
    slow.OnEnd(ended, true, At(i * 80));
    runs.push_back(slow.OnStart(kLikely, At(i * 80)));
  }
}

// Guards against a target that stays stalled after it responds again, and
// against a deadline of a call that is taken for a response.
Test(stall_detector, only_a_response_ends_a_stall) {
  StallDetector detector;
  std::vector<StallDetector::RunId> runs;
  for (int i = 0; i < 3; ++i) {
    runs.push_back(detector.OnStart(kLikely, At(0)));
  }
  cr_assert(detector.Update(At(600)));
  const StallDetector::RunId later = detector.OnStart(kLikely, At(600));
  for (const StallDetector::RunId run : runs) {
    cr_assert_not(detector.OnEnd(run, false, At(1'000)));
  }
  cr_assert(detector.is_stalled());
  cr_assert(detector.OnEnd(later, true, At(1'050)));
  cr_assert_not(detector.is_stalled());
}

}  // namespace dragonflytack
