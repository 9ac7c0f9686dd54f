#include "calls/rate_limiter.h"

#include <algorithm>
#include <chrono>

namespace dragonflytack {

namespace {

constexpr double kBurstSeconds = 0.1;

}  // namespace

double RateLimiter::Burst() const {
  return std::max(1.0, rate_ * kBurstSeconds);
}

void RateLimiter::SetRate(double rate, TimePoint now) {
  const bool first = rate_ == 0;
  rate_ = rate;
  if (first) {
    tokens_ = Burst();
    last_refill_ = now;
  }
  tokens_ = std::min(tokens_, Burst());
}

bool RateLimiter::TryTake(TimePoint now) {
  if (rate_ == 0) {
    return true;
  }
  const std::chrono::duration<double> elapsed = now - last_refill_;
  last_refill_ = now;
  tokens_ = std::min(Burst(), tokens_ + rate_ * elapsed.count());
  if (tokens_ < 1) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

}  // namespace dragonflytack
