#ifndef DRAGONFLYTACK_DAEMON_DAEMON_MAIN_H_
#define DRAGONFLYTACK_DAEMON_DAEMON_MAIN_H_

#include <string>

#include "daemon/environment.h"

namespace dragonflytack {

// Runs a daemon with the command line of dragonflytackd until it is signalled
// to stop, and returns the exit code. `default_config` is the settings file to
// use without --config; if it is empty, --config is required.
int RunDaemon(int argc,
              char** argv,
              const std::string& default_config,
              Environment environment);

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_DAEMON_DAEMON_MAIN_H_
