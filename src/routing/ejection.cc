#include "routing/ejection.h"

#include <algorithm>

namespace dragonflytack {

bool Ejection::Record(AttemptOutcome end) {
  if (end == AttemptOutcome::kNeutral || end == AttemptOutcome::kOvertaken) {
    return false;
  }
  // Halving both counts keeps the rate and lets old attempts fade.
  if (++attempts_ > 2 * kMinAttempts) {
    attempts_ /= 2;
    timeouts_ /= 2;
  }
  if (end == AttemptOutcome::kSuccess) {
    failures_in_row_ = 0;
    on_probation_ = false;
    if (++successes_in_row_ >= kSuccessesToForget) {
      next_period_ = kFirstPeriod;
    }
  } else {
    successes_in_row_ = 0;
    ++failures_in_row_;
    timeouts_ += end == AttemptOutcome::kTimeout ? 1 : 0;
  }
  // A host that takes no connection is not asked again at once: each call would
  // wait for it.
  return end == AttemptOutcome::kUnreachable ||
         failures_in_row_ >= kFailuresToEject ||
         (attempts_ >= kMinAttempts && 2 * timeouts_ > attempts_);
}

Milliseconds Ejection::Remaining(TimePoint now) const {
  return IsEjected(now) ? std::chrono::ceil<Milliseconds>(until_ - now)
                        : Milliseconds::zero();
}

void Ejection::Eject(TimePoint now) {
  on_probation_ = true;
  until_ = now + next_period_;
  next_period_ = std::min(2 * next_period_, kLongestPeriod);
  failures_in_row_ = kFailuresToEject - 1;
  attempts_ = 0;
  timeouts_ = 0;
}

}  // namespace dragonflytack
