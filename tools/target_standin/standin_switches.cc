#include "target_standin/standin_switches.h"

#include <functional>
#include <map>

#include <nlohmann/json.hpp>

namespace dragonflytack {

namespace {

using Json = nlohmann::json;
// Sets one switch. Returns false if the value has the wrong type.
using Setter = std::function<bool(const Json&, StandinSwitches*)>;

Setter BooleanSetter(bool StandinSwitches::*member) {
  return [member](const Json& value, StandinSwitches* switches) {
    if (!value.is_boolean()) {
      return false;
    }
    switches->*member = value.get<bool>();
    return true;
  };
}

const std::map<std::string, Setter>& Setters() {
  static const auto* const setters = new std::map<std::string, Setter>{
      {"drain", BooleanSetter(&StandinSwitches::drain)},
      {"slow_start", BooleanSetter(&StandinSwitches::slow_start)},
      {"hang", BooleanSetter(&StandinSwitches::hang)},
      {"close", BooleanSetter(&StandinSwitches::close_without_response)},
      {"truncate", BooleanSetter(&StandinSwitches::truncate)},
      {"delay_ms",
       [](const Json& value, StandinSwitches* switches) {
         if (!value.is_number_unsigned()) {
           return false;
         }
         switches->delay_ms = value.get<int>();
         return true;
       }},
      {"error_rate",
       [](const Json& value, StandinSwitches* switches) {
         if (!value.is_number()) {
           return false;
         }
         switches->error_rate = value.get<double>();
         return true;
       }},
      {"bad_release", BooleanSetter(&StandinSwitches::bad_release)},
      {"release",
       [](const Json& value, StandinSwitches* switches) {
         if (!value.is_string()) {
           return false;
         }
         switches->release = value.get<std::string>();
         return true;
       }},
      {"false_load",
       [](const Json& value, StandinSwitches* switches) {
         if (!value.is_number() && !value.is_null()) {
           return false;
         }
         switches->false_load =
             value.is_null() ? std::nullopt
                             : std::optional<double>(value.get<double>());
         return true;
       }},
  };
  return *setters;
}

}  // namespace

std::optional<StandinSwitches> StandinSwitches::Parse(
    const std::string& json,
    const StandinSwitches& current,
    Failure* reason) {
  const Json object = Json::parse(json, nullptr, /*allow_exceptions=*/false);
  if (!object.is_object()) {
    *reason = {FailureCode::kInvalidMessage, "switches", "not a JSON object"};
    return std::nullopt;
  }
  StandinSwitches switches = current;
  for (const auto& [name, value] : object.items()) {
    const auto setter = Setters().find(name);
    if (setter == Setters().end() || !setter->second(value, &switches)) {
      *reason = {FailureCode::kInvalidMessage, name,
                 "unknown switch, or a value of the wrong type"};
      return std::nullopt;
    }
  }
  return switches;
}

std::string StandinSwitches::ToJson() const {
  return Json{{"drain", drain},
              {"slow_start", slow_start},
              {"hang", hang},
              {"delay_ms", delay_ms},
              {"error_rate", error_rate},
              {"close", close_without_response},
              {"truncate", truncate},
              {"bad_release", bad_release},
              {"release", release},
              {"false_load", false_load ? Json(*false_load) : Json()}}
      .dump();
}

}  // namespace dragonflytack
