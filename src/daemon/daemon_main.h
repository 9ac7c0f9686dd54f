#ifndef DRAGONFLYTACK_DAEMON_DAEMON_MAIN_H_
#define DRAGONFLYTACK_DAEMON_DAEMON_MAIN_H_

#include <string>

#include "daemon/environment.h"

namespace dragonflytack {

// Runs a daemon until it is asked to stop, with the command line of
// dragonflytackd. `default_config` is the settings file to use when the command
// line names none; when it is empty, --config is required. Returns the exit
// code.
int RunDaemon(int argc,
              char** argv,
              const std::string& default_config,
              Environment environment);

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_DAEMON_DAEMON_MAIN_H_
