#include "dragonflytack/base/system_clock.h"

#include <ctime>

#include <criterion/criterion.h>

namespace dragonflytack {

namespace {

// Simulates a host that was suspended for 40 of the last 100 seconds.
int ReadClockOfSuspendedHost(clockid_t clock, timespec* time) {
  *time = timespec{clock == CLOCK_BOOTTIME ? 100 : 60, 500'000'000};
  return 0;
}

}  // namespace

// Guards against a node that treats peer states and deadlines from before a
// suspension of its host as current.
Test(system_clock, advances_while_the_host_is_suspended) {
  const SystemClock clock(&ReadClockOfSuspendedHost);
  cr_assert(clock.Now().time_since_epoch() == Milliseconds(100'500));
  cr_assert(SystemClock().Now() > TimePoint());
}

}  // namespace dragonflytack
