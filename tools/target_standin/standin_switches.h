#ifndef DRAGONFLYTACK_TOOLS_TARGET_STANDIN_STANDIN_SWITCHES_H_
#define DRAGONFLYTACK_TOOLS_TARGET_STANDIN_STANDIN_SWITCHES_H_

#include <optional>
#include <string>

#include "dragonflytack/base/failure.h"

namespace dragonflytack {

// Switches for the behaviour of the stand-in, changed at run time by POST
// /standin/switch. The request body is a JSON object; it sets the switches that
// it contains and leaves the others unchanged. The comments give the JSON
// names.
struct StandinSwitches final {
  // "drain": announces the state "draining".
  bool drain = false;
  // "slow_start": announces the state "warming", and calls take ten times as
  // long.
  bool slow_start = false;
  // "hang": calls are counted as executed but get no response.
  bool hang = false;
  // "delay_ms": added to the service time.
  int delay_ms = 0;
  // "error_rate": share of the calls, 0 to 1, that get a response with status
  // 500.
  double error_rate = 0;
  // "close": calls are executed, then the connection is closed without a
  // response.
  bool close_without_response = false;
  // "truncate": only half of the response body is sent before the connection is
  // closed.
  bool truncate = false;
  // "release": release that is announced instead of that of the options, as if
  // the target had been replaced; empty for that of the options.
  std::string release;
  // "bad_release": half of the calls get a response with status 500. Unlike
  // "error_rate", it is not switched off with the faults of a soak run.
  bool bad_release = false;
  // "false_load": load that is reported instead of the actual one; null for the
  // actual one.
  std::optional<double> false_load;

  // Returns `current` with the switches in `json` applied, or std::nullopt if
  // `json` is not an object of known switches with values of the right types.
  static std::optional<StandinSwitches> Parse(const std::string& json,
                                              const StandinSwitches& current,
                                              Failure* reason);

  std::string ToJson() const;

  friend bool operator==(const StandinSwitches&,
                         const StandinSwitches&) = default;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_TOOLS_TARGET_STANDIN_STANDIN_SWITCHES_H_
