#ifndef TOOLS_SOAK_DRIVER_SOAK_FAILURE_H_
#define TOOLS_SOAK_DRIVER_SOAK_FAILURE_H_

#include <optional>
#include <string>

#include "soak_driver/call_record.h"

namespace dragonflytack {

// A broken promise, with the place in the logs that shows more.
struct SoakFailure final {
  std::string text;
  SoakTime at;
  // The node that broke it, if it was a single one.
  std::optional<int> node = {};
};

}  // namespace dragonflytack

#endif  // TOOLS_SOAK_DRIVER_SOAK_FAILURE_H_
