#ifndef DRAGONFLYTACK_BASE_SYSTEM_CLOCK_H_
#define DRAGONFLYTACK_BASE_SYSTEM_CLOCK_H_

#include "dragonflytack/base/clock.h"

namespace dragonflytack {

// The operating system's clocks.
class SystemClock final : public Clock {
 public:
  TimePoint Now() const override;
  int64_t WallMillis() const override;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_BASE_SYSTEM_CLOCK_H_
