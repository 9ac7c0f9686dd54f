#ifndef DRAGONFLYTACK_BASE_CLOCK_H_
#define DRAGONFLYTACK_BASE_CLOCK_H_

#include <chrono>
#include <cstdint>

namespace dragonflytack {

using TimePoint = std::chrono::steady_clock::time_point;
using Milliseconds = std::chrono::milliseconds;

// The source of time. Components read the time only through this interface, so
// that tests can control it.
class Clock {
 public:
  virtual ~Clock() = default;

  // Returns a monotonic time, for deadlines and intervals. It also advances
  // while the host is suspended.
  virtual TimePoint Now() const = 0;

  // Returns milliseconds since the Unix epoch, for incarnations, expiry times
  // and logs.
  virtual int64_t WallMillis() const = 0;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_BASE_CLOCK_H_
