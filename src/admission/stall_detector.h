#ifndef DRAGONFLYTACK_SRC_ADMISSION_STALL_DETECTOR_H_
#define DRAGONFLYTACK_SRC_ADMISSION_STALL_DETECTOR_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "dragonflytack/base/clock.h"

namespace dragonflytack {

// Detects that the local target has stopped to respond although it accepts
// calls. Each slot of such a target would take one waiting call after the other
// and hold it until its deadline. Has no I/O and no timers.
class StallDetector final {
 public:
  using RunId = uint64_t;

  // A call is overdue after this many times its likely run time, but not before
  // kMinSilence. Both count from its start or from the last response of the
  // target, whichever is later.
  static constexpr int kLikelyRunTimes = 2;
  static constexpr Milliseconds kMinSilence{250};
  // Number of overdue calls that make a stall. One or two may be calls that
  // take unusually long.
  static constexpr size_t kMinOverdue = 3;
  // Records the start of a call. A call with an unknown run time, 0, is never
  // overdue.
  RunId OnStart(std::chrono::nanoseconds likely_run_time, TimePoint now);

  // Records the end of a call. `responded` is whether the target sent a
  // response, which ends a stall. Returns whether a stall has ended.
  bool OnEnd(RunId run, bool responded, TimePoint now);

  // Returns when the calls that run now become a stall without any response;
  // std::nullopt if they do not, or if the target is stalled already.
  std::optional<TimePoint> StallsAt() const;

  // Returns whether a stall begins: the target has become stalled since the
  // last call of this function.
  bool Update(TimePoint now);

  // Whether the target is stalled, as of the last Update().
  bool is_stalled() const { return is_stalled_; }

  size_t running() const { return runs_.size(); }
  // Returns how long the target has not responded.
  Milliseconds Silence(TimePoint now) const;

 private:
  struct Run {
    TimePoint start;
    std::chrono::nanoseconds overdue_after{0};
  };

  std::unordered_map<RunId, Run> runs_;
  RunId next_run_ = 1;
  TimePoint last_response_{};
  bool is_stalled_ = false;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_ADMISSION_STALL_DETECTOR_H_
