#include "routing/retry_budget.h"

#include <algorithm>
#include <chrono>

namespace dragonflytack {

void RetryBudget::set_limits(const Limits& limits) {
  limits_ = limits;
  tokens_ = std::min(tokens_, limits_.max_tokens);
}

void RetryBudget::OnCall(double retry_share) {
  // A share of retries above the limit leads to a negative balance, at most
  // as large as the capacity.
  tokens_ = std::clamp(tokens_ + limits_.tokens_per_call - retry_share,
                       -limits_.max_tokens, limits_.max_tokens);
}

bool RetryBudget::TryTake() {
  Refill();
  if (tokens_ < 1) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

void RetryBudget::Refill() {
  const TimePoint now = clock_->Now();
  const std::chrono::duration<double> elapsed = now - last_refill_;
  tokens_ = std::min(limits_.max_tokens,
                     tokens_ + limits_.tokens_per_second * elapsed.count());
  last_refill_ = now;
}

}  // namespace dragonflytack
