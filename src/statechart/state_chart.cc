#include "dragonflytack/statechart/state_chart.h"

#include <algorithm>
#include <cstring>
#include <initializer_list>
#include <set>
#include <sstream>
#include <utility>

#include <fmt/format.h>
#include <pugixml.hpp>

namespace dragonflytack {

namespace {

using Transitions = std::vector<std::pair<std::string, std::string>>;

// Parses one document. Stops at the first failure.
class ChartReader {
 public:
  ChartReader(std::string_view name, Failure* reason)
      : name_(name), reason_(reason) {}

  bool Read(std::string_view scxml) {
    pugi::xml_document document;
    const pugi::xml_parse_result result =
        document.load_buffer(scxml.data(), scxml.size());
    if (!result) {
      return Fail(fmt::format("byte {}", result.offset), result.description());
    }
    const pugi::xml_node root = document.document_element();
    if (std::strcmp(root.name(), "scxml") != 0) {
      return Fail(root.name(), "the root element is not scxml");
    }
    if (!CheckAttributes(root, {"xmlns", "version", "name", "initial"})) {
      return false;
    }
    for (const pugi::xml_node node : root.children()) {
      if (!ReadState(node)) {
        return false;
      }
    }
    return ResolveTargets(root.attribute("initial").value());
  }

  std::vector<StateChart::State> TakeStates() { return std::move(states_); }
  size_t initial() const { return initial_; }

 private:
  bool Fail(std::string_view location, std::string_view detail) {
    *reason_ = {FailureCode::kInvalidChart,
                fmt::format("{}: {}", name_, location), std::string(detail)};
    return false;
  }

  bool CheckAttributes(const pugi::xml_node& node,
                       std::initializer_list<std::string_view> known) {
    for (const pugi::xml_attribute attribute : node.attributes()) {
      if (std::find(known.begin(), known.end(), attribute.name()) ==
          known.end()) {
        return Fail(node.name(),
                    fmt::format("unknown attribute {}", attribute.name()));
      }
    }
    return true;
  }

  bool ReadState(const pugi::xml_node& node) {
    const bool is_final = std::strcmp(node.name(), "final") == 0;
    if (!is_final && std::strcmp(node.name(), "state") != 0) {
      return Fail(node.name(), "unknown element in scxml");
    }
    if (!CheckAttributes(node, {"id"})) {
      return false;
    }
    StateChart::State state;
    state.id = node.attribute("id").value();
    state.is_final = is_final;
    if (state.id.empty()) {
      return Fail(node.name(), "state without id");
    }
    if (!index_.emplace(state.id, states_.size()).second) {
      return Fail(state.id, "state is defined twice");
    }
    Transitions transitions;
    for (const pugi::xml_node child : node.children()) {
      if (!ReadChild(child, &state, &transitions)) {
        return false;
      }
    }
    if (is_final && !transitions.empty()) {
      return Fail(state.id, "final state with a transition");
    }
    if (!is_final && transitions.empty()) {
      return Fail(state.id, "state without a transition that is not final");
    }
    states_.push_back(std::move(state));
    transitions_.push_back(std::move(transitions));
    return true;
  }

  bool ReadChild(const pugi::xml_node& node,
                 StateChart::State* state,
                 Transitions* transitions) {
    const std::string_view kind = node.name();
    if (kind == "transition") {
      return ReadTransition(node, state->id, transitions);
    }
    if (kind == "onentry" || kind == "onexit") {
      return ReadActions(
          node, state->id,
          kind == "onentry" ? &state->on_entry : &state->on_exit);
    }
    return Fail(state->id, fmt::format("unknown element {}", kind));
  }

  bool ReadTransition(const pugi::xml_node& node,
                      const std::string& id,
                      Transitions* transitions) {
    if (!CheckAttributes(node, {"event", "target"})) {
      return false;
    }
    const std::string target = node.attribute("target").value();
    if (target.empty()) {
      return Fail(id, "transition without target");
    }
    if (node.first_child()) {
      return Fail(id, "transition with content");
    }
    std::istringstream events(node.attribute("event").value());
    bool has_event = false;
    for (std::string event; events >> event; has_event = true) {
      if (event.find_first_of("*.") != std::string::npos) {
        return Fail(id, fmt::format("event {} is not a plain name", event));
      }
      transitions->emplace_back(event, target);
    }
    return has_event || Fail(id, "transition without event");
  }

  bool ReadActions(const pugi::xml_node& node,
                   const std::string& id,
                   std::vector<std::string>* actions) {
    if (!CheckAttributes(node, {})) {
      return false;
    }
    for (const pugi::xml_node script : node.children()) {
      if (std::strcmp(script.name(), "script") != 0) {
        return Fail(id, fmt::format("unknown action {}", script.name()));
      }
      if (!CheckAttributes(script, {})) {
        return false;
      }
      const std::string action = script.text().get();
      if (action.empty() ||
          action.find_first_of(" \t\r\n();") != std::string::npos) {
        return Fail(id, "script is not the name of one action");
      }
      actions->push_back(action);
    }
    return true;
  }

  // Replaces the names of targets by indices and checks that each state is
  // reachable.
  bool ResolveTargets(const std::string& initial) {
    const auto start = index_.find(initial);
    if (start == index_.end()) {
      return Fail("scxml",
                  fmt::format("initial state \"{}\" does not exist", initial));
    }
    initial_ = start->second;
    for (size_t i = 0; i < states_.size(); ++i) {
      for (const auto& [event, target] : transitions_[i]) {
        const auto found = index_.find(target);
        if (found == index_.end()) {
          return Fail(states_[i].id,
                      fmt::format("target {} does not exist", target));
        }
        if (!states_[i].transitions.emplace(event, found->second).second) {
          return Fail(states_[i].id,
                      fmt::format("two transitions for event {}", event));
        }
      }
    }
    std::set<size_t> reached = {initial_};
    std::vector<size_t> to_visit = {initial_};
    while (!to_visit.empty()) {
      const size_t state = to_visit.back();
      to_visit.pop_back();
      for (const auto& [event, target] : states_[state].transitions) {
        if (reached.insert(target).second) {
          to_visit.push_back(target);
        }
      }
    }
    for (size_t i = 0; i < states_.size(); ++i) {
      if (reached.count(i) == 0) {
        return Fail(states_[i].id, "state cannot be reached");
      }
    }
    return true;
  }

  const std::string name_;
  Failure* const reason_;
  std::vector<StateChart::State> states_;
  std::vector<Transitions> transitions_;
  std::map<std::string, size_t> index_;
  size_t initial_ = 0;
};

}  // namespace

StateChart::StateChart(std::string name,
                       std::vector<State> states,
                       size_t initial)
    : name_(std::move(name)), states_(std::move(states)), initial_(initial) {}

std::shared_ptr<const StateChart> StateChart::Parse(std::string_view name,
                                                    std::string_view scxml,
                                                    Failure* reason) {
  ChartReader reader(name, reason);
  if (!reader.Read(scxml)) {
    return nullptr;
  }
  return std::shared_ptr<const StateChart>(
      new StateChart(std::string(name), reader.TakeStates(), reader.initial()));
}

}  // namespace dragonflytack
