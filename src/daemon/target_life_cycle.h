#ifndef DRAGONFLYTACK_DAEMON_TARGET_LIFE_CYCLE_H_
#define DRAGONFLYTACK_DAEMON_TARGET_LIFE_CYCLE_H_

#include <functional>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "dragonflytack/base/timer_service.h"
#include "dragonflytack/calls/local_target.h"
#include "dragonflytack/registry/target_run.h"
#include "dragonflytack/statechart/chart_machine.h"

namespace dragonflytack {

// Tracks the state of the local target by its announcements and their absence.
// The state machine is the chart charts/target.scxml.
class TargetLifeCycle final {
 public:
  using ChangedCallback = std::function<void(const LocalTarget&)>;

  // `on_changed` is called for each change of the state or another field, not
  // for announcements that repeat the previous one. It is also called from
  // within HandleAnnouncement() and OnUnreachable() and must not destroy the
  // object. A target without an
  // announcement for `announcement_timeout` is considered starting, so that it
  // gets no calls, unless it drains or has left.
  TargetLifeCycle(TimerService* timers,
                  Milliseconds announcement_timeout,
                  ChangedCallback on_changed);
  ~TargetLifeCycle();
  TargetLifeCycle(const TargetLifeCycle&) = delete;
  TargetLifeCycle& operator=(const TargetLifeCycle&) = delete;

  // Returns whether the announcement is in force: it took effect, or its state
  // was in force for its run already. Otherwise it changed nothing.
  //
  // Start times order the runs of targets, and numbers the announcements of one
  // run. An announcement with an earlier start time is late, or the clock of
  // the host was set back. Only a run that is alive goes on to announce itself,
  // so it takes the place of one that has left or fallen silent after several
  // announcements over the announcement timeout. A run with an instance name
  // that has announced `draining` or `left` never gets calls again, whatever it
  // announces later.
  bool HandleAnnouncement(const LocalTarget& announced);

  // Sets whether the departures that earlier processes of this node
  // acknowledged have been restored. Until then, the first run has to be
  // confirmed by several announcements over the announcement timeout, unless it
  // has no instance name. True at first.
  void set_knows_departures(bool knows_departures) {
    knows_departures_ = knows_departures;
  }

  // Restores a departure that an earlier process of this node acknowledged, at
  // any time: if the run is the target, it drains from now on, and an earlier
  // run has to be confirmed. May call `on_changed`.
  void RestoreDeparture(const TargetRun& run);

  // The last run that announced that it leaves; empty if there was none or if
  // it had no instance name.
  const TargetRun& departure() const { return departure_; }

  // Called when no connection to the target can be made. A target that does not
  // leave gets calls again after its next announcement.
  void OnUnreachable() { machine_.Handle("lost"); }

  const LocalTarget& target() const { return target_; }

  // Checks the chart against the table of actions, for tests.
  static bool CheckChart(Failure* reason);

 private:
  // Number of announcements after which a run with an earlier start time counts
  // as alive.
  static constexpr int kConfirmingAnnouncements = 3;

  // A run with an earlier start time than that of the target, as long as it is
  // not confirmed.
  struct EarlierRun {
    std::string instance;
    int64_t started_ms = 0;
    int64_t sequence = 0;
    int announcements = 0;
    TimePoint first_seen;
    TimePoint last_seen;
  };

  static std::span<const ChartAction<TargetLifeCycle>> Actions();

  // Action of the chart.
  void Publish();

  bool IsSameRun(const LocalTarget& announced) const;
  // Whether the announcement is of a run that takes the place of the target.
  bool FollowsTarget(const LocalTarget& announced);
  // Records an announcement with an earlier start time than that of the target.
  // Returns whether the run is alive and the target is over.
  bool IsConfirmed(const LocalTarget& announced);

  TimerService* const timers_;
  const Milliseconds announcement_timeout_;
  const ChangedCallback on_changed_;
  ChartMachine<TargetLifeCycle> machine_;
  LocalTarget target_;
  // Instance names of the last earlier runs of the target. They show which
  // announcements are outdated if the start time is missing.
  std::vector<std::string> past_instances_;
  // Instance names and start times of the last runs that have left and are not
  // the target; 0 for a run that left without a start time.
  std::vector<std::pair<std::string, int64_t>> left_runs_;
  TargetRun departure_;
  bool knows_departures_ = true;
  std::optional<EarlierRun> earlier_run_;
  // Whether the announcement timeout has passed since the last announcement.
  bool is_silent_ = false;
  TimerId announcement_timer_ = 0;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_DAEMON_TARGET_LIFE_CYCLE_H_
