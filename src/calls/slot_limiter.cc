#include "calls/slot_limiter.h"

#include <algorithm>

namespace dragonflytack {

namespace {

constexpr double kShareOfNewest = 0.1;

}  // namespace

bool SlotLimiter::TryTake() {
  if (in_use_ >= limit_) {
    return false;
  }
  ++in_use_;
  return true;
}

void SlotLimiter::RecordTime(std::chrono::nanoseconds time) {
  const auto sample = static_cast<double>(time.count());
  average_ns_ = average_ns_ == 0
                    ? sample
                    : average_ns_ + kShareOfNewest * (sample - average_ns_);
}

std::chrono::nanoseconds SlotLimiter::ExpectedTime(int ahead) const {
  // A slot becomes free every average / limit; then the call itself runs.
  const double wait = (ahead + 1) * average_ns_ / std::max(limit_, 1);
  return std::chrono::nanoseconds(static_cast<int64_t>(wait + average_ns_));
}

}  // namespace dragonflytack
