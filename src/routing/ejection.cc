#include "routing/ejection.h"

#include <algorithm>

namespace dragonflytack {

bool Ejection::Record(AttemptOutcome outcome) {
  if (outcome == AttemptOutcome::kNeutral ||
      outcome == AttemptOutcome::kSuperseded) {
    return false;
  }
  // Halving both counts preserves the rate and reduces the weight of old
  // attempts.
  if (++attempts_ > 2 * kMinAttempts) {
    attempts_ /= 2;
    timeouts_ /= 2;
  }
  if (outcome == AttemptOutcome::kSuccess) {
    consecutive_failures_ = 0;
    on_probation_ = false;
    if (++consecutive_successes_ >= kSuccessesToResetPeriod) {
      next_period_ = kInitialPeriod;
    }
  } else {
    consecutive_successes_ = 0;
    ++consecutive_failures_;
    timeouts_ += outcome == AttemptOutcome::kTimeout ? 1 : 0;
  }
  // A host that accepts no connections is ejected after one failure, because
  // each further call would wait for its connection attempt to fail.
  return outcome == AttemptOutcome::kUnreachable ||
         consecutive_failures_ >= kFailuresToEject ||
         (attempts_ >= kMinAttempts && 2 * timeouts_ > attempts_);
}

Milliseconds Ejection::Remaining(TimePoint now) const {
  return IsEjected(now) ? std::chrono::ceil<Milliseconds>(ejected_until_ - now)
                        : Milliseconds::zero();
}

void Ejection::Eject(TimePoint now) {
  on_probation_ = true;
  ejected_until_ = now + next_period_;
  next_period_ = std::min(2 * next_period_, kMaxPeriod);
  consecutive_failures_ = kFailuresToEject - 1;
  attempts_ = 0;
  timeouts_ = 0;
}

}  // namespace dragonflytack
