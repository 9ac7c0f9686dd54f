#include "admission/stall_detector.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace dragonflytack {

StallDetector::RunId StallDetector::OnStart(
    std::chrono::nanoseconds likely_run_time,
    TimePoint now) {
  const RunId run = next_run_++;
  if (likely_run_time > std::chrono::nanoseconds::zero()) {
    runs_.emplace(
        run, Run{now, std::max<std::chrono::nanoseconds>(
                          kLikelyRunTimes * likely_run_time, kMinSilence)});
  }
  return run;
}

bool StallDetector::OnEnd(RunId run, bool responded, TimePoint now) {
  runs_.erase(run);
  if (!responded) {
    return false;
  }
  last_response_ = now;
  return std::exchange(is_stalled_, false);
}

std::optional<TimePoint> StallDetector::StallsAt() const {
  if (is_stalled_ || runs_.size() < kMinOverdue) {
    return std::nullopt;
  }
  std::vector<TimePoint> overdue;
  overdue.reserve(runs_.size());
  for (const auto& [id, run] : runs_) {
    overdue.push_back(
        std::max(run.start, last_response_) +
        std::chrono::duration_cast<TimePoint::duration>(run.overdue_after));
  }
  const auto last = overdue.begin() + (kMinOverdue - 1);
  std::nth_element(overdue.begin(), last, overdue.end());
  return *last;
}

bool StallDetector::Update(TimePoint now) {
  const std::optional<TimePoint> stalls_at = StallsAt();
  if (!stalls_at || *stalls_at > now) {
    return false;
  }
  is_stalled_ = true;
  return true;
}

Milliseconds StallDetector::Silence(TimePoint now) const {
  TimePoint since = now;
  for (const auto& [id, run] : runs_) {
    since = std::min(since, std::max(run.start, last_response_));
  }
  return std::chrono::duration_cast<Milliseconds>(now - since);
}

}  // namespace dragonflytack
