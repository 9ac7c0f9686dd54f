#include "daemon/target_life_cycle.h"

#include <cassert>
#include <utility>

#include "net/record_json.h"
#include "statechart/embedded_charts.h"

namespace dragonflytack {

std::span<const ChartAction<TargetLifeCycle>> TargetLifeCycle::Actions() {
  static constexpr ChartAction<TargetLifeCycle> actions[] = {
      {"Publish", &TargetLifeCycle::Publish},
  };
  return actions;
}

bool TargetLifeCycle::CheckChart(Failure* reason) {
  return ChartMachine<TargetLifeCycle>::CheckBinding(
      *FindEmbeddedChart("target"), Actions(), reason);
}

TargetLifeCycle::TargetLifeCycle(TimerService* timers,
                                 ChangedCallback on_changed)
    : timers_(timers),
      on_changed_(std::move(on_changed)),
      machine_(FindEmbeddedChart("target"), this, Actions()) {}

TargetLifeCycle::~TargetLifeCycle() {
  timers_->Cancel(lost_timer_);
}

void TargetLifeCycle::Announce(const LocalTarget& announced) {
  LocalTarget before = std::exchange(target_, announced);
  target_.state = before.state;
  const bool moved = machine_.Handle(TargetStateName(announced.state));
  if (!moved && target_ != before) {
    Publish();
  }
  timers_->Cancel(lost_timer_);
  lost_timer_ =
      timers_->SubscribeOnce(kLostAfter, [this] { machine_.Handle("lost"); });
}

void TargetLifeCycle::Publish() {
  const std::optional<TargetState> state = ParseTargetState(machine_.state());
  assert(state.has_value());
  target_.state = *state;
  on_changed_(target_);
}

}  // namespace dragonflytack
