#include "dragonflytack/base/system_clock.h"

#include <ctime>

#include <criterion/criterion.h>

namespace dragonflytack {

// Guards against a node that does not notice that its host was suspended. No
// host can be suspended in a test, so this compares the clock that is read.
Test(system_clock, counts_the_time_of_a_suspension) {
  cr_assert_eq(SystemClock::kClockId, CLOCK_BOOTTIME);
  const SystemClock clock;
  timespec before{};
  timespec after{};
  clock_gettime(CLOCK_BOOTTIME, &before);
  const auto now = clock.Now().time_since_epoch();
  clock_gettime(CLOCK_BOOTTIME, &after);
  const auto of = [](const timespec& time) {
    return std::chrono::seconds(time.tv_sec) +
           std::chrono::nanoseconds(time.tv_nsec);
  };
  cr_assert(of(before) <= now && now <= of(after));
}

}  // namespace dragonflytack
