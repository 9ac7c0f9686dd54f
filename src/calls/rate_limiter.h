#ifndef DRAGONFLYTACK_SRC_CALLS_RATE_LIMITER_H_
#define DRAGONFLYTACK_SRC_CALLS_RATE_LIMITER_H_

#include "dragonflytack/base/clock.h"

namespace dragonflytack {

// A token bucket that holds a tenth of a second of calls, and at least one.
class RateLimiter final {
 public:
  // Calls a second; 0 means no limit.
  void SetRate(double rate, TimePoint now);

  // Takes a call from the bucket. Returns whether there was one.
  bool TryTake(TimePoint now);

 private:
  double Burst() const;

  double rate_ = 0;
  double tokens_ = 0;
  TimePoint refilled_{};
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_CALLS_RATE_LIMITER_H_
