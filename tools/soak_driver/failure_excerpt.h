#ifndef TOOLS_SOAK_DRIVER_FAILURE_EXCERPT_H_
#define TOOLS_SOAK_DRIVER_FAILURE_EXCERPT_H_

#include <string>
#include <vector>

#include "soak_driver/soak_failure.h"

namespace dragonflytack {

// Returns the lines that the daemon of the failure's node wrote around the
// failure, at most 12 of 200 bytes, the last ones first left out. `work_dir` is
// the folder of the run. Empty for a failure without a node, and for a log that
// has no line of that time.
std::vector<std::string> ReadDaemonLines(const SoakFailure& failure,
                                         const std::string& work_dir);

}  // namespace dragonflytack

#endif  // TOOLS_SOAK_DRIVER_FAILURE_EXCERPT_H_
