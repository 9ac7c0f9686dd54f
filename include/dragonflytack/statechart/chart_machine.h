#ifndef DRAGONFLYTACK_STATECHART_CHART_MACHINE_H_
#define DRAGONFLYTACK_STATECHART_CHART_MACHINE_H_

#include <cassert>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "dragonflytack/statechart/state_chart.h"

namespace dragonflytack {

// Binds the name of an action of a chart to a member function.
template <typename Owner>
struct ChartAction final {
  std::string_view name;
  void (Owner::*run)();
};

// Runs one instance of a state chart whose actions are member functions of
// `Owner`. The actions are called from within Start() and Handle() and must not
// destroy the machine.
template <typename Owner>
class ChartMachine final {
 public:
  using Actions = std::span<const ChartAction<Owner>>;

  // Returns whether each action of the chart is bound in `actions` and each
  // bound action is used by the chart; sets `reason` if not. Only a chart and
  // actions that pass this check may be given to the constructor.
  static bool CheckBinding(const StateChart& chart,
                           Actions actions,
                           Failure* reason) {
    std::vector<bool> used(actions.size());
    for (const StateChart::State& state : chart.states()) {
      for (const auto* names : {&state.on_entry, &state.on_exit}) {
        for (const std::string& name : *names) {
          const size_t index = IndexOf(actions, name);
          if (index == actions.size()) {
            *reason = {FailureCode::kInvalidChart,
                       chart.name() + ": state " + state.id,
                       "action " + name + " is not bound"};
            return false;
          }
          used[index] = true;
        }
      }
    }
    for (size_t i = 0; i < actions.size(); ++i) {
      if (!used[i]) {
        *reason = {FailureCode::kInvalidChart, chart.name(),
                   "action " + std::string(actions[i].name) + " is never used"};
        return false;
      }
    }
    return true;
  }

  // `owner` and the memory of `actions` must outlive the machine.
  ChartMachine(std::shared_ptr<const StateChart> chart,
               Owner* owner,
               Actions actions)
      : chart_(std::move(chart)),
        owner_(owner),
        actions_(actions),
        current_(chart_->initial()) {}

  // Runs the entry actions of the initial state.
  void Start() {
    Run(chart_->states()[current_].on_entry);
    HandlePending();
  }

  // Handles an event: runs the exit actions of the current state, then the
  // entry actions of the next one. Ignores an event for which the state has no
  // transition. Queues an event from within an action until the transition of
  // that action is complete. Returns whether `event` was not ignored; true if
  // it was queued.
  bool Handle(std::string_view event) {
    if (running_) {
      pending_.emplace_back(event);
      return true;
    }
    const bool handled = Step(event);
    HandlePending();
    return handled;
  }

  const std::string& state() const { return chart_->states()[current_].id; }
  bool is_final() const { return chart_->states()[current_].is_final; }

 private:
  static size_t IndexOf(Actions actions, std::string_view name) {
    size_t index = 0;
    while (index < actions.size() && actions[index].name != name) {
      ++index;
    }
    return index;
  }

  void HandlePending() {
    while (!pending_.empty()) {
      const std::string next = std::move(pending_.front());
      pending_.erase(pending_.begin());
      Step(next);
    }
  }

  bool Step(std::string_view event) {
    const StateChart::State& from = chart_->states()[current_];
    const auto found = from.transitions.find(event);
    if (found == from.transitions.end()) {
      return false;
    }
    Run(from.on_exit);
    current_ = found->second;
    Run(chart_->states()[current_].on_entry);
    return true;
  }

  void Run(const std::vector<std::string>& names) {
    running_ = true;
    for (const std::string& name : names) {
      const size_t index = IndexOf(actions_, name);
      assert(index < actions_.size());
      (owner_->*actions_[index].run)();
    }
    running_ = false;
  }

  const std::shared_ptr<const StateChart> chart_;
  Owner* const owner_;
  const Actions actions_;
  size_t current_;
  bool running_ = false;
  std::vector<std::string> pending_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_STATECHART_CHART_MACHINE_H_
