#include "daemon/target_life_cycle.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "net/record_json.h"
#include "statechart/embedded_charts.h"

namespace dragonflytack {

namespace {

bool IsLeaving(TargetState state) {
  return state == TargetState::kDraining || state == TargetState::kLeft;
}

template <typename Value>
bool Contains(const std::vector<Value>& values, const Value& value) {
  return std::find(values.begin(), values.end(), value) != values.end();
}

TargetRun RunOf(const LocalTarget& target) {
  return TargetRun::Make(target.instance, target.started_ms);
}

// Adds a value and forgets the oldest one if there are too many.
template <typename Value>
void Remember(std::vector<Value>* values, const Value& value) {
  constexpr size_t kMaxRemembered = 64;
  std::erase(*values, value);
  values->push_back(value);
  if (values->size() > kMaxRemembered) {
    values->erase(values->begin());
  }
}

}  // namespace

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
                                 Milliseconds announcement_timeout,
                                 ChangedCallback on_changed)
    : timers_(timers),
      announcement_timeout_(announcement_timeout),
      on_changed_(std::move(on_changed)),
      machine_(FindEmbeddedChart("target"), this, Actions()) {}

TargetLifeCycle::~TargetLifeCycle() {
  timers_->Cancel(announcement_timer_);
}

bool TargetLifeCycle::IsSameRun(const LocalTarget& announced) const {
  // The announcement of `left` may omit the start time.
  return announced.instance == target_.instance &&
         (announced.started_ms == target_.started_ms ||
          announced.started_ms == 0 || target_.started_ms == 0);
}

bool TargetLifeCycle::FollowsTarget(const LocalTarget& announced) {
  const bool has_target = !target_.instance.empty();
  if (!departure_.empty() && departure_.IsSame(RunOf(announced))) {
    return !has_target && IsLeaving(announced.state);
  }
  const int64_t known_start =
      has_target ? target_.started_ms : departure_.started_ms;
  const bool is_ordered = announced.started_ms != 0 && known_start != 0 &&
                          announced.started_ms != known_start;
  if (!has_target && !is_ordered) {
    return knows_departures_ || announced.instance.empty() ||
           IsLeaving(announced.state) || IsConfirmed(announced);
  }
  if (Contains(left_runs_, {announced.instance, announced.started_ms}) ||
      (!is_ordered && Contains(past_instances_, announced.instance))) {
    return false;
  }
  if (is_ordered && announced.started_ms > known_start) {
    return true;
  }
  if (IsLeaving(announced.state)) {
    // It is not the run that gets the calls, and must not get them later.
    Remember(&left_runs_, {announced.instance, announced.started_ms});
    Remember(&left_runs_, {announced.instance, 0});
    return false;
  }
  return !is_ordered || IsConfirmed(announced);
}

bool TargetLifeCycle::IsConfirmed(const LocalTarget& announced) {
  const TimePoint now = timers_->clock().Now();
  const bool is_new = !earlier_run_ ||
                      earlier_run_->instance != announced.instance ||
                      earlier_run_->started_ms != announced.started_ms ||
                      now - earlier_run_->last_seen > announcement_timeout_;
  if (is_new) {
    earlier_run_ = EarlierRun{announced.instance,
                              announced.started_ms,
                              announced.sequence,
                              1,
                              now,
                              now};
    return false;
  }
  if (announced.sequence <= earlier_run_->sequence) {
    return false;
  }
  earlier_run_->sequence = announced.sequence;
  earlier_run_->last_seen = now;
  const bool is_over = target_.instance.empty() ||
                       target_.state == TargetState::kLeft || is_silent_;
  return ++earlier_run_->announcements >= kConfirmingAnnouncements &&
         now - earlier_run_->first_seen >= announcement_timeout_ && is_over;
}

bool TargetLifeCycle::HandleAnnouncement(const LocalTarget& announced) {
  const bool same_run = IsSameRun(announced);
  if (!same_run && !FollowsTarget(announced)) {
    return false;
  }
  // A run that leaves never serves again, so that its leaving holds in whatever
  // order it arrives.
  if (same_run && !IsLeaving(announced.state) && announced.sequence != 0 &&
      announced.sequence <= target_.sequence) {
    return announced.state == target_.state;
  }
  if (!same_run && !target_.instance.empty()) {
    Remember(&past_instances_, target_.instance);
    if (target_.state == TargetState::kLeft) {
      Remember(&left_runs_, {target_.instance, target_.started_ms});
    }
    std::erase(past_instances_, announced.instance);
    earlier_run_.reset();
  }
  const bool was_leaving = IsLeaving(target_.state);
  LocalTarget previous = std::exchange(target_, announced);
  target_.state = previous.state;
  if (same_run && target_.started_ms == 0) {
    target_.started_ms = previous.started_ms;
  }
  target_.sequence = same_run ? std::max(previous.sequence, announced.sequence)
                              : announced.sequence;
  if (IsLeaving(announced.state) && !target_.instance.empty()) {
    departure_ = RunOf(target_);
  }
  // A run that leaves may still announce that it has left, but nothing else
  // changes its state.
  const bool keeps_state = same_run && was_leaving &&
                           !announced.instance.empty() &&
                           announced.state != TargetState::kLeft;
  const bool state_changed =
      !keeps_state && machine_.Handle(TargetStateName(announced.state));
  previous.sequence = target_.sequence;
  if (!state_changed && target_ != previous) {
    Publish();
  }
  is_silent_ = false;
  timers_->Cancel(announcement_timer_);
  announcement_timer_ = timers_->SubscribeOnce(announcement_timeout_, [this] {
    is_silent_ = true;
    machine_.Handle("lost");
  });
  return true;
}

void TargetLifeCycle::RestoreDeparture(const TargetRun& run) {
  if (run.empty() || (!departure_.empty() && !departure_.IsEarlierThan(run))) {
    return;
  }
  departure_ = run;
  const TargetRun current = RunOf(target_);
  if (run.IsSame(current) && !IsLeaving(target_.state)) {
    machine_.Handle("draining");
  } else if (!current.empty() && current.IsEarlierThan(run)) {
    // It was accepted as the first run of this process and is not confirmed.
    machine_.Handle("lost");
    target_.instance.clear();
  }
}

void TargetLifeCycle::Publish() {
  const std::optional<TargetState> state = ParseTargetState(machine_.state());
  assert(state.has_value());
  target_.state = *state;
  on_changed_(target_);
}

}  // namespace dragonflytack
