#ifndef DRAGONFLYTACK_CALLS_LOCAL_TARGET_H_
#define DRAGONFLYTACK_CALLS_LOCAL_TARGET_H_

#include <cstdint>
#include <string>

#include "dragonflytack/registry/target_state.h"

namespace dragonflytack {

// The target beside this node, as it announced itself.
struct LocalTarget final {
  std::string service;
  // IP number and port where the target takes calls.
  std::string address;
  uint16_t port = 0;
  TargetState state = TargetState::kStarting;
  // Calls the target can run at a time, 0 when the table's value applies.
  int slots = 0;
  // The target's own name for this run of it; empty when it gives none.
  std::string instance;
  // When this run began, in milliseconds since the Unix epoch; 0 when the
  // target does not say.
  int64_t started_ms = 0;
  // Rises with each announcement of one run; 0 when they are not numbered.
  int64_t sequence = 0;

  friend bool operator==(const LocalTarget&, const LocalTarget&) = default;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_CALLS_LOCAL_TARGET_H_
