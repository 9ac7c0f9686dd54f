#ifndef TOOLS_SOAK_DRIVER_SOAK_EVENT_H_
#define TOOLS_SOAK_DRIVER_SOAK_EVENT_H_

#include <string>

#include "soak_driver/relay_fault.h"

namespace dragonflytack {

enum class SoakEventKind {
  kTerminate,       // SIGTERM to a daemon that has had none.
  kTerminateAgain,  // A further SIGTERM to a daemon that is stopping.
  kKill,            // SIGKILL to a daemon.
  kPause,           // SIGSTOP to a daemon, and SIGCONT after the duration.
  kPauseTarget,     // The same for a target.
  kTargetSwitch,    // A switch of a target for the duration.
  kStoreFault,      // A fault of the store for the duration.
  kStoreReturn,     // The store returns from an older copy.
  kRelayFault,      // A fault of connections for the duration.
  kEdit,            // An edit of the table with the command-line tool.
};

// An event of a soak run's schedule. The members after `at` are used by some
// kinds only.
struct SoakEvent final {
  SoakEventKind kind = SoakEventKind::kEdit;
  // Seconds since the start of the faults.
  double at = 0;
  int node = 0;
  // How long the fault lasts in seconds. After a stop or a kill: the time from
  // the exit to the restart.
  double duration = 0;
  // Switches of the target as JSON, the fault of the store, or the age of its
  // copy in milliseconds.
  std::string text = {};
  RelayFault relay_fault = {};

  std::string ToString() const;
};

}  // namespace dragonflytack

#endif  // TOOLS_SOAK_DRIVER_SOAK_EVENT_H_
