#include "routing/retry_budget.h"

#include <algorithm>
#include <chrono>

namespace dragonflytack {

void RetryBudget::set_limits(const Limits& limits) {
  limits_ = limits;
  saved_ = std::min(saved_, limits_.max_saved);
}

void RetryBudget::OnCall(double repeated) {
  // More repeated calls than the share allows leave a debt, up to what may be
  // saved.
  saved_ = std::clamp(saved_ + limits_.share_of_calls - repeated,
                      -limits_.max_saved, limits_.max_saved);
}

bool RetryBudget::TryTake() {
  Refill();
  if (saved_ < 1) {
    return false;
  }
  saved_ -= 1;
  return true;
}

void RetryBudget::Refill() {
  const TimePoint now = clock_->Now();
  const std::chrono::duration<double> elapsed = now - refilled_;
  saved_ = std::min(limits_.max_saved,
                    saved_ + limits_.per_second * elapsed.count());
  refilled_ = now;
}

}  // namespace dragonflytack
