#include "daemon/target_life_cycle.h"

#include <algorithm>
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
                                 Milliseconds silence,
                                 ChangedCallback on_changed)
    : timers_(timers),
      silence_(silence),
      on_changed_(std::move(on_changed)),
      machine_(FindEmbeddedChart("target"), this, Actions()) {}

TargetLifeCycle::~TargetLifeCycle() {
  timers_->Cancel(lost_timer_);
}

bool TargetLifeCycle::IsOutdated(const LocalTarget& announced) const {
  if (announced.started_ms != 0 && target_.started_ms != 0) {
    if (announced.started_ms != target_.started_ms) {
      return announced.started_ms < target_.started_ms;
    }
  } else if (announced.instance != target_.instance) {
    return past_instances_.contains(announced.instance);
  }
  return announced.sequence != 0 && announced.sequence <= target_.sequence;
}

bool TargetLifeCycle::Announce(const LocalTarget& announced) {
  if (IsOutdated(announced)) {
    return false;
  }
  // A departure may leave out the start time.
  const bool same_run = announced.instance == target_.instance &&
                        (announced.started_ms == target_.started_ms ||
                         announced.started_ms == 0 || target_.started_ms == 0);
  if (!same_run && !target_.instance.empty()) {
    constexpr size_t kMaxPast = 64;
    if (past_instances_.size() < kMaxPast) {
      past_instances_.insert(target_.instance);
    }
    past_instances_.erase(announced.instance);
  }
  const bool left = target_.state == TargetState::kDraining ||
                    target_.state == TargetState::kLeft;
  LocalTarget before = std::exchange(target_, announced);
  target_.state = before.state;
  if (same_run && target_.started_ms == 0) {
    target_.started_ms = before.started_ms;
  }
  target_.sequence = same_run ? std::max(before.sequence, announced.sequence)
                              : announced.sequence;
  if (same_run && left && !announced.instance.empty() &&
      announced.state != TargetState::kLeft) {
    return true;
  }
  const bool moved = machine_.Handle(TargetStateName(announced.state));
  before.sequence = target_.sequence;
  if (!moved && target_ != before) {
    Publish();
  }
  timers_->Cancel(lost_timer_);
  lost_timer_ =
      timers_->SubscribeOnce(silence_, [this] { machine_.Handle("lost"); });
  return true;
}

void TargetLifeCycle::Publish() {
  const std::optional<TargetState> state = ParseTargetState(machine_.state());
  assert(state.has_value());
  target_.state = *state;
  on_changed_(target_);
}

}  // namespace dragonflytack
