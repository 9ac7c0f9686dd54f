#include "calls/prompt_load.h"

#include <algorithm>
#include <cmath>

namespace dragonflytack {

void PromptLoad::OnCall(std::chrono::nanoseconds run_time, TimePoint now) {
  work_ns_ = WorkAt(now) + static_cast<double>(run_time.count());
  updated_at_ = now;
}

double PromptLoad::ShareLeft(int slots, TimePoint now) const {
  const std::chrono::duration<double, std::nano> period = kPeriod;
  const double used = WorkAt(now) / (period.count() * std::max(slots, 1));
  return std::clamp(1 - used, 0.0, 1.0);
}

double PromptLoad::WorkAt(TimePoint now) const {
  const std::chrono::duration<double> period = kPeriod;
  const std::chrono::duration<double> elapsed = now - updated_at_;
  return work_ns_ * std::exp(-elapsed / period);
}

}  // namespace dragonflytack
