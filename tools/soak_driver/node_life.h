#ifndef TOOLS_SOAK_DRIVER_NODE_LIFE_H_
#define TOOLS_SOAK_DRIVER_NODE_LIFE_H_

#include <optional>

#include "soak_driver/call_record.h"

namespace dragonflytack {

// What was done to one process of a daemon, and when it exited.
struct NodeLife final {
  int node = 0;
  SoakTime started;
  // When the first SIGTERM was sent.
  std::optional<SoakTime> terminated;
  std::optional<SoakTime> killed;
  std::optional<SoakTime> exited;
  // When its latest pause ended.
  std::optional<SoakTime> resumed;
};

}  // namespace dragonflytack

#endif  // TOOLS_SOAK_DRIVER_NODE_LIFE_H_
