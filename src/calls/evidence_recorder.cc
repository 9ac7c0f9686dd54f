#include "calls/evidence_recorder.h"

#include <utility>

namespace dragonflytack {

void EvidenceRecorder::SetTarget(const LocalTarget& target, TimePoint now) {
  const bool is_new = target.instance != target_.instance ||
                      target.started_ms != target_.started_ms ||
                      target.service != target_.service ||
                      target.release != target_.release;
  if (is_new) {
    evidence_ = {target.service, target.release, {}};
    changed_ = true;
  }
  if (is_new || (target.state == TargetState::kWarming &&
                 target_.state != TargetState::kWarming)) {
    warm_from_ = now + kColdTime;
  }
  target_ = target;
}

void EvidenceRecorder::Record(const std::string& route,
                              bool failed,
                              std::chrono::nanoseconds run_time,
                              TimePoint now) {
  RouteEvidence& counts = evidence_.routes[route];
  ++counts.responses;
  if (failed) {
    ++counts.failures;
  } else if (now >= warm_from_ && target_.state != TargetState::kWarming) {
    ++counts.run_times[ReleaseEvidence::BucketOf(run_time)];
  }
  changed_ = true;
}

bool EvidenceRecorder::TakeChanged() {
  return std::exchange(changed_, false);
}

}  // namespace dragonflytack
