#include "dragonflytack/base/system_clock.h"

namespace dragonflytack {

TimePoint SystemClock::Now() const {
  timespec time{};
  // Fails only for a clock that the kernel does not have.
  clock_gettime(kClockId, &time);
  return TimePoint(std::chrono::duration_cast<TimePoint::duration>(
      std::chrono::seconds(time.tv_sec) +
      std::chrono::nanoseconds(time.tv_nsec)));
}

int64_t SystemClock::WallMillis() const {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<Milliseconds>(since_epoch).count();
}

}  // namespace dragonflytack
