#ifndef DRAGONFLYTACK_STATECHART_STATE_CHART_H_
#define DRAGONFLYTACK_STATECHART_STATE_CHART_H_

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "dragonflytack/base/failure.h"

namespace dragonflytack {

// A state chart, read from a subset of SCXML (W3C, 2015): atomic `state` and
// `final` elements; `transition` with `event` (one or more names) and `target`;
// `onentry` and `onexit` with `script` elements, each of which names one
// action. Everything else is rejected, so that no part of a chart is silently
// ignored. A chart is immutable and may be shared by machines.
class StateChart final {
 public:
  struct State {
    std::string id;
    bool is_final = false;
    std::vector<std::string> on_entry;
    std::vector<std::string> on_exit;
    // Indices of the next states by event.
    std::map<std::string, size_t, std::less<>> transitions;
  };

  // Returns null, with kInvalidChart and the location in `reason`, if the text
  // is malformed, uses an element or attribute outside the subset, or has an
  // unreachable state. `name` is only used in failures.
  static std::shared_ptr<const StateChart> Parse(std::string_view name,
                                                 std::string_view scxml,
                                                 Failure* reason);

  const std::string& name() const { return name_; }
  const std::vector<State>& states() const { return states_; }
  size_t initial() const { return initial_; }

 private:
  StateChart(std::string name, std::vector<State> states, size_t initial);

  std::string name_;
  std::vector<State> states_;
  size_t initial_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_STATECHART_STATE_CHART_H_
