#ifndef DRAGONFLYTACK_CALLS_LOCAL_TARGET_H_
#define DRAGONFLYTACK_CALLS_LOCAL_TARGET_H_

#include <cstdint>
#include <string>

#include "dragonflytack/registry/target_state.h"

namespace dragonflytack {

// The target beside this node, as it announced itself.
struct LocalTarget final {
  std::string service;
  // IP address and port where the target accepts calls.
  std::string address;
  uint16_t port = 0;
  TargetState state = TargetState::kStarting;
  // Calls that the target can run at a time; 0 if the table's value applies.
  int slots = 0;
  // Name that the target announced for its current process; empty if none.
  std::string instance;
  // Start of this process, in milliseconds since the Unix epoch; 0 if the
  // target does not announce it.
  int64_t started_ms = 0;
  // Increases with each announcement of one process; 0 if they are not
  // numbered.
  int64_t sequence = 0;
  // Version of the target's software; empty if it does not report it.
  std::string release;

  friend bool operator==(const LocalTarget&, const LocalTarget&) = default;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_CALLS_LOCAL_TARGET_H_
