#ifndef TOOLS_SOAK_DRIVER_VERSION_LOG_H_
#define TOOLS_SOAK_DRIVER_VERSION_LOG_H_

#include <string>

#include "soak_driver/soak_log.h"

namespace dragonflytack {

// Reads the table versions that a daemon put in force from its log, which all
// its processes append to, and reports each that is lower than the one before
// it. Unlike VersionWatch, it sees versions that are in force for a moment
// only. `work_dir` is the folder of the run.
void CheckVersionsInLog(const std::string& work_dir, int node, SoakLog* log);

}  // namespace dragonflytack

#endif  // TOOLS_SOAK_DRIVER_VERSION_LOG_H_
