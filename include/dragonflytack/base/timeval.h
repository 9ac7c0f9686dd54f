#ifndef DRAGONFLYTACK_BASE_TIMEVAL_H_
#define DRAGONFLYTACK_BASE_TIMEVAL_H_

#include <sys/time.h>

#include <algorithm>
#include <chrono>

namespace dragonflytack {

// Converts a duration to libevent's type. Negative durations become zero.
inline timeval ToTimeval(std::chrono::microseconds duration) {
  const auto positive = std::max(duration, std::chrono::microseconds::zero());
  const auto seconds =
      std::chrono::duration_cast<std::chrono::seconds>(positive);
  timeval value;
  value.tv_sec = seconds.count();
  value.tv_usec = (positive - seconds).count();
  return value;
}

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_BASE_TIMEVAL_H_
