#ifndef TOOLS_SOAK_DRIVER_SOAK_FAILURE_H_
#define TOOLS_SOAK_DRIVER_SOAK_FAILURE_H_

#include <optional>
#include <string>

#include "soak_driver/call_record.h"

namespace dragonflytack {

// A broken promise, with the place in the logs that shows more.
struct SoakFailure final {
  std::string text;
  // The node that broke it, if it was a single one.
  std::optional<int> node = {};
  SoakTime at = std::chrono::steady_clock::now();
  // If a time limit is involved, when it began to run. A machine that has no
  // processor for the processes of the run can cause such a failure, and no
  // other one.
  std::optional<SoakTime> limited_since = {};
  // What shows that the machine may have caused it; empty if nothing does.
  std::string starvation = {};
};

}  // namespace dragonflytack

#endif  // TOOLS_SOAK_DRIVER_SOAK_FAILURE_H_
