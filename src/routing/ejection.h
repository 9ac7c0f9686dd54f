#ifndef DRAGONFLYTACK_SRC_ROUTING_EJECTION_H_
#define DRAGONFLYTACK_SRC_ROUTING_EJECTION_H_

#include "dragonflytack/base/clock.h"

namespace dragonflytack {

// How an attempt ended, as far as this is evidence of the health of the
// endpoint. Refusals under load are kNeutral.
enum class AttemptOutcome {
  kSuccess,
  kFailure,
  kTimeout,
  // No connection was made.
  kUnreachable,
  // Another attempt of the call received a response first.
  kSuperseded,
  kNeutral,
};

// Outlier detection for one endpoint: decides from the outcomes of attempts
// whether it should be ejected for a period. ServicePool limits how many
// endpoints are ejected at a time.
class Ejection final {
 public:
  static constexpr int kFailuresToEject = 5;
  // The timeout rate is evaluated over at least this number of recent attempts.
  static constexpr int kMinAttempts = 10;
  static constexpr Milliseconds kInitialPeriod{1000};
  static constexpr Milliseconds kMaxPeriod{5'000};
  // Consecutive successes after which the next ejection period is
  // kInitialPeriod again.
  static constexpr int kSuccessesToResetPeriod = 20;

  // Records the outcome of an attempt. Returns whether the endpoint should be
  // ejected now.
  bool Record(AttemptOutcome outcome);

  // Ejects the endpoint from `now` on. After the period a single failure ejects
  // it again, so that a dead host costs one call in each period.
  void Eject(TimePoint now);

  bool IsEjected(TimePoint now) const { return now < ejected_until_; }

  // Returns the time until the ejection ends, or zero if the endpoint is not
  // ejected.
  Milliseconds Remaining(TimePoint now) const;

  // Whether no attempt has succeeded since the last ejection.
  bool is_on_probation() const { return on_probation_; }

 private:
  int consecutive_failures_ = 0;
  int consecutive_successes_ = 0;
  int attempts_ = 0;
  int timeouts_ = 0;
  Milliseconds next_period_ = kInitialPeriod;
  TimePoint ejected_until_{};
  bool on_probation_ = false;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_ROUTING_EJECTION_H_
