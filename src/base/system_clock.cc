#include "dragonflytack/base/system_clock.h"

#include <cassert>

namespace dragonflytack {

TimePoint SystemClock::Now() const {
  // CLOCK_MONOTONIC stops while the host is suspended. After the resume, a node
  // would treat outdated peer states and expired deadlines as current.
  timespec time{};
  [[maybe_unused]] const int failed = read_clock_(CLOCK_BOOTTIME, &time);
  assert(failed == 0);
  return TimePoint(std::chrono::duration_cast<TimePoint::duration>(
      std::chrono::seconds(time.tv_sec) +
      std::chrono::nanoseconds(time.tv_nsec)));
}

int64_t SystemClock::WallMillis() const {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<Milliseconds>(since_epoch).count();
}

}  // namespace dragonflytack
