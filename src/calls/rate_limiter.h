#ifndef DRAGONFLYTACK_SRC_CALLS_RATE_LIMITER_H_
#define DRAGONFLYTACK_SRC_CALLS_RATE_LIMITER_H_

#include "dragonflytack/base/clock.h"

namespace dragonflytack {

// Token bucket that holds the calls of a tenth of a second, at least one.
class RateLimiter final {
 public:
  // Sets the calls per second; 0 means no limit.
  void SetRate(double rate, TimePoint now);

  // Takes one token. Returns false if the bucket is empty.
  bool TryTake(TimePoint now);

 private:
  double Burst() const;

  double rate_ = 0;
  double tokens_ = 0;
  TimePoint last_refill_{};
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_CALLS_RATE_LIMITER_H_
