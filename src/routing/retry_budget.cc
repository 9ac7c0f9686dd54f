#include "routing/retry_budget.h"

#include <algorithm>
#include <chrono>

namespace dragonflytack {

void RetryBudget::OnCall() {
  saved_ = std::min(kMaxSaved, saved_ + kShareOfCalls);
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
  saved_ = std::min(kMaxSaved, saved_ + kPerSecond * elapsed.count());
  refilled_ = now;
}

}  // namespace dragonflytack
