#ifndef DRAGONFLYTACK_DAEMON_TARGET_LIFE_CYCLE_H_
#define DRAGONFLYTACK_DAEMON_TARGET_LIFE_CYCLE_H_

#include <functional>
#include <set>
#include <span>
#include <string>

#include "dragonflytack/base/timer_service.h"
#include "dragonflytack/calls/local_target.h"
#include "dragonflytack/statechart/chart_machine.h"

namespace dragonflytack {

// The life of the target beside this node, from its announcements and their
// absence. The chart charts/target.scxml drives it.
class TargetLifeCycle final {
 public:
  using ChangedCallback = std::function<void(const LocalTarget&)>;

  // `on_changed` gets each new state and each change of the other fields, not
  // the repetitions.
  // A target that announces nothing for `silence` counts as starting, so that
  // it gets no calls.
  TargetLifeCycle(TimerService* timers,
                  Milliseconds silence,
                  ChangedCallback on_changed);
  ~TargetLifeCycle();
  TargetLifeCycle(const TargetLifeCycle&) = delete;
  TargetLifeCycle& operator=(const TargetLifeCycle&) = delete;

  // Takes an announcement. Returns false for one that is older than what is
  // known: it changes nothing. A run of a target that has said that it leaves
  // never gets calls again, whatever it announces later.
  bool Announce(const LocalTarget& announced);

  // The target took no connection. It gets calls again after its next
  // announcement.
  void OnUnreachable() { machine_.Handle("lost"); }

  const LocalTarget& target() const { return target_; }

  // Checks the chart against the table of actions, for tests.
  static bool CheckChart(Failure* reason);

 private:
  static std::span<const ChartAction<TargetLifeCycle>> Actions();

  // Action of the chart.
  void Publish();

  bool IsOutdated(const LocalTarget& announced) const;

  TimerService* const timers_;
  const Milliseconds silence_;
  const ChangedCallback on_changed_;
  ChartMachine<TargetLifeCycle> machine_;
  LocalTarget target_;
  // Runs that gave no start time and were followed by another one.
  std::set<std::string> past_instances_;
  TimerId lost_timer_ = 0;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_DAEMON_TARGET_LIFE_CYCLE_H_
