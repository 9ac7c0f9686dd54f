#ifndef DRAGONFLYTACK_DAEMON_TARGET_LIFE_CYCLE_H_
#define DRAGONFLYTACK_DAEMON_TARGET_LIFE_CYCLE_H_

#include <functional>
#include <span>

#include "dragonflytack/base/timer_service.h"
#include "dragonflytack/calls/local_target.h"
#include "dragonflytack/statechart/chart_machine.h"

namespace dragonflytack {

// The life of the target beside this node, from its announcements and their
// absence. The chart charts/target.scxml drives it.
class TargetLifeCycle final {
 public:
  // A target repeats its announcement at least every 5 s. After three missed
  // ones it counts as starting, so that it gets no calls.
  static constexpr Milliseconds kLostAfter{15'000};

  using ChangedCallback = std::function<void(const LocalTarget&)>;

  // `on_changed` gets each new state and each change of the other fields, not
  // the repetitions.
  TargetLifeCycle(TimerService* timers, ChangedCallback on_changed);
  ~TargetLifeCycle();
  TargetLifeCycle(const TargetLifeCycle&) = delete;
  TargetLifeCycle& operator=(const TargetLifeCycle&) = delete;

  void Announce(const LocalTarget& announced);

  const LocalTarget& target() const { return target_; }

  // Checks the chart against the table of actions, for tests.
  static bool CheckChart(Failure* reason);

 private:
  static std::span<const ChartAction<TargetLifeCycle>> Actions();

  // Action of the chart.
  void Publish();

  TimerService* const timers_;
  const ChangedCallback on_changed_;
  ChartMachine<TargetLifeCycle> machine_;
  LocalTarget target_;
  TimerId lost_timer_ = 0;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_DAEMON_TARGET_LIFE_CYCLE_H_
