#ifndef DRAGONFLYTACK_BASE_SYSTEM_CLOCK_H_
#define DRAGONFLYTACK_BASE_SYSTEM_CLOCK_H_

#include <ctime>

#include "dragonflytack/base/clock.h"

namespace dragonflytack {

// The operating system's clocks.
class SystemClock final : public Clock {
 public:
  // Has the interface of clock_gettime(2).
  using ReadClock = int (*)(clockid_t, timespec*);

  // Tests replace `read_clock` to simulate a suspended host.
  explicit SystemClock(ReadClock read_clock = &clock_gettime)
      : read_clock_(read_clock) {}

  TimePoint Now() const override;
  int64_t WallMillis() const override;

 private:
  const ReadClock read_clock_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_BASE_SYSTEM_CLOCK_H_
