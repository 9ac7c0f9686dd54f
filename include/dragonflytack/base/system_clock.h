#ifndef DRAGONFLYTACK_BASE_SYSTEM_CLOCK_H_
#define DRAGONFLYTACK_BASE_SYSTEM_CLOCK_H_

#include <ctime>

#include "dragonflytack/base/clock.h"

namespace dragonflytack {

// The operating system's clocks.
class SystemClock final : public Clock {
 public:
  // std::chrono::steady_clock stands still while a host is suspended: a node
  // would take beliefs and deadlines from before for current ones.
  static constexpr clockid_t kClockId = CLOCK_BOOTTIME;

  TimePoint Now() const override;
  int64_t WallMillis() const override;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_BASE_SYSTEM_CLOCK_H_
