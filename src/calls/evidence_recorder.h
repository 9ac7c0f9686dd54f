#ifndef DRAGONFLYTACK_SRC_CALLS_EVIDENCE_RECORDER_H_
#define DRAGONFLYTACK_SRC_CALLS_EVIDENCE_RECORDER_H_

#include <chrono>
#include <string>

#include "dragonflytack/base/clock.h"
#include "dragonflytack/calls/local_target.h"
#include "dragonflytack/rollout/release_evidence.h"

namespace dragonflytack {

// Counts the responses of the local target for the roll-out controllers. Starts
// from zero with each process of the target.
class EvidenceRecorder final {
 public:
  // The run times of a target count from this time after it started or began
  // to warm up, and never while it announces that it does. Targets start cold
  // and are slower for about 3 s.
  static constexpr Milliseconds kColdTime{3'500};

  void SetTarget(const LocalTarget& target, TimePoint now);
  void Record(const std::string& route,
              bool failed,
              std::chrono::nanoseconds run_time,
              TimePoint now);

  const ReleaseEvidence& evidence() const { return evidence_; }
  // Returns whether the evidence changed since the last call.
  bool TakeChanged();

 private:
  LocalTarget target_;
  TimePoint warm_from_;
  ReleaseEvidence evidence_;
  bool changed_ = false;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_CALLS_EVIDENCE_RECORDER_H_
