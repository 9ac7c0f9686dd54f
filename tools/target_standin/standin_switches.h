#ifndef DRAGONFLYTACK_TOOLS_TARGET_STANDIN_STANDIN_SWITCHES_H_
#define DRAGONFLYTACK_TOOLS_TARGET_STANDIN_STANDIN_SWITCHES_H_

#include <optional>
#include <string>

#include "dragonflytack/base/failure.h"

namespace dragonflytack {

// How the stand-in behaves, changed at run time by POST /standin/switch. A JSON
// object sets the fields that it names and leaves the others.
struct StandinSwitches final {
  // Announces itself as draining. "drain"
  bool drain = false;
  // Announces itself as warming, and calls take ten times as long. "slow_start"
  bool slow_start = false;
  // Calls are executed but never answered. "hang"
  bool hang = false;
  // Added to the service time. "delay_ms"
  int delay_ms = 0;
  // Share of the calls answered with status 500, 0 to 1. "error_rate"
  double error_rate = 0;
  // Calls are executed, then the connection is closed. "close"
  bool close_without_answer = false;
  // Only half of the body is sent before the connection is closed. "truncate"
  bool truncate = false;
  // Load that is reported instead of the true one. "false_load", null ends it
  std::optional<double> false_load;

  // Returns nothing when the text is not a JSON object of known switches with
  // values of the right types.
  static std::optional<StandinSwitches> Parse(const std::string& json,
                                              const StandinSwitches& present,
                                              Failure* reason);

  std::string ToJson() const;

  friend bool operator==(const StandinSwitches&,
                         const StandinSwitches&) = default;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_TOOLS_TARGET_STANDIN_STANDIN_SWITCHES_H_
