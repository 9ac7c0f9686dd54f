#include "calls/slot_limiter.h"

#include <algorithm>

namespace dragonflytack {

namespace {

constexpr double kNewestSampleWeight = 0.1;

}  // namespace

bool SlotLimiter::TryTake() {
  if (!has_free()) {
    return false;
  }
  ++in_use_;
  return true;
}

void SlotLimiter::RecordRunTime(std::chrono::nanoseconds run_time) {
  const auto sample = static_cast<double>(run_time.count());
  average_run_time_ns_ =
      average_run_time_ns_ == 0
          ? sample
          : average_run_time_ns_ +
                kNewestSampleWeight * (sample - average_run_time_ns_);
}

std::chrono::nanoseconds SlotLimiter::ExpectedLatency(int ahead) const {
  // One slot becomes free every average_run_time / limit; then the call itself
  // runs.
  const double wait = (ahead + 1) * average_run_time_ns_ / std::max(limit_, 1);
  return std::chrono::nanoseconds(
      static_cast<int64_t>(wait + average_run_time_ns_));
}

}  // namespace dragonflytack
