#ifndef DRAGONFLYTACK_SRC_ROUTING_EJECTION_H_
#define DRAGONFLYTACK_SRC_ROUTING_EJECTION_H_

#include "dragonflytack/base/clock.h"

namespace dragonflytack {

// How an attempt ended, as far as it says something about the health of the
// endpoint. Refusals under load are kNeutral.
enum class AttemptOutcome {
  kSuccess,
  kFailure,
  kTimeout,
  // No connection was made.
  kUnreachable,
  // Another attempt of the call was answered first.
  kOvertaken,
  kNeutral,
};

// Judges from the ends of attempts whether one endpoint is to be left out for a
// while. The pool of the service decides whether so many may be left out.
class Ejection final {
 public:
  static constexpr int kFailuresToEject = 5;
  // The timeout rate is judged over at least this number of recent attempts.
  static constexpr int kMinAttempts = 10;
  static constexpr Milliseconds kFirstPeriod{1000};
  static constexpr Milliseconds kLongestPeriod{5'000};
  // Successes in a row after which the next ejection is short again.
  static constexpr int kSuccessesToForget = 20;

  // Counts an attempt. Returns whether the endpoint should be ejected now.
  bool Record(AttemptOutcome end);

  // Leaves the endpoint out from `now` on. Afterwards a single failure ejects
  // it again, so that a dead host costs one call in each period.
  void Eject(TimePoint now);

  bool IsEjected(TimePoint now) const { return now < until_; }

  // Time until the ejection ends, zero when there is none.
  Milliseconds Remaining(TimePoint now) const;

  // Whether no attempt has succeeded since the last ejection.
  bool is_on_probation() const { return on_probation_; }

 private:
  int failures_in_row_ = 0;
  int successes_in_row_ = 0;
  int attempts_ = 0;
  int timeouts_ = 0;
  Milliseconds next_period_ = kFirstPeriod;
  TimePoint until_{};
  bool on_probation_ = false;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_ROUTING_EJECTION_H_
