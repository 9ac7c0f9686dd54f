#ifndef DRAGONFLYTACK_SRC_ROUTING_TARGET_LOAD_MODEL_H_
#define DRAGONFLYTACK_SRC_ROUTING_TARGET_LOAD_MODEL_H_

#include <chrono>

#include "dragonflytack/base/clock.h"
#include "dragonflytack/routing/target_load.h"
#include "routing/ejection.h"

namespace dragonflytack {

// Estimates the load of one target at this moment from reports that are up to
// some seconds old and from what this node has sent since. It does no I/O. The
// constants come from the model in tests/load_model.h; the figures are in
// docs/design/load-balancing.md.
class TargetLoadModel final {
 public:
  using Microseconds = std::chrono::duration<double, std::micro>;

  // Older reports are ignored.
  static constexpr Milliseconds kReportLifetime{5000};
  // Bounds of the factor by which the target's own report changes the weight or
  // the expected wait. A target may report any load.
  static constexpr double kMinReportFactor = 0.5;
  static constexpr double kMaxReportFactor = 1.5;

  // What the choosing node knows of the target at this moment.
  struct View {
    int slots = 1;
    // Calls of this node that have no response yet.
    int in_flight = 0;
    TimePoint now;
    // Run time of the calls of the service, assumed for a target of which this
    // node has no response yet; 0 if there is none of any target.
    Microseconds usual_run_time{0};
  };

  // Records that this node sends a call.
  void OnSent() { ++sent_since_report_; }

  // Records a report of the node beside the target: `calls` run and wait there,
  // `own_calls` of them are of this node.
  void OnOccupancy(double calls, int own_calls, TimePoint now);

  // Records a report of the target itself.
  void OnTargetReport(const TargetLoad& load, TimePoint now);

  // Records the end of a call and the time since it was sent.
  void OnCallEnded(AttemptOutcome outcome,
                   Microseconds latency,
                   const View& view);

  // Returns the estimated calls that run and wait at the target.
  double EstimateCalls(const View& view) const;

  // Returns whether a slot of the target is probably free. A target whose calls
  // failed needs more free slots, unless failures are left out.
  bool HasRoom(const View& view) const;
  bool HasRoomWithoutFailures(const View& view) const;

  // Returns the weight of the target in a random choice among those with room:
  // the share of its slots that is free, divided by the time that a call takes.
  double Weight(const View& view) const;

  // Returns the time for which a further call is expected to wait for a slot,
  // as the mean over the uncertainty of the estimate.
  Microseconds ExpectedWait(const View& view) const;

  // Returns the expected wait plus a part of the run time for each call per
  // slot, which orders targets whose wait is the same.
  Microseconds Cost(const View& view) const;

 private:
  bool HasReport(const View& view) const;
  // Returns the time since the last report, as far as it makes it less
  // reliable.
  Milliseconds ReportAge(const View& view) const;
  double RunTimeMicros(const View& view) const;
  // Returns the factor of a report of the target itself, 1 without one.
  double LoadFactor(TimePoint now) const;
  double WorkTimeFactor(const View& view) const;
  bool HasRoomBeside(double taken_slots, const View& view) const;
  // Returns the slots that count as taken because calls failed.
  double SlotsOfFailures(const View& view) const;

  // The last report of the node beside the target.
  double reported_calls_ = 0;
  TimePoint reported_at_{};
  int sent_since_report_ = 0;
  // Means of the reported calls, and of this node's own at that moment.
  double mean_calls_ = 0;
  double mean_own_calls_ = 0;
  // Mean time of a call without its wait; 0 until the first one ended.
  double run_time_us_ = 0;
  // Share of the calls that failed, and when the last one ended.
  double failure_share_ = 0;
  TimePoint last_end_{};
  // The last report of the target.
  double load_ = 0;
  double work_time_ = 1;
  TimePoint target_report_until_{};
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_ROUTING_TARGET_LOAD_MODEL_H_
