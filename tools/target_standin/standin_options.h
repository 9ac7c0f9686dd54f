#ifndef DRAGONFLYTACK_TOOLS_TARGET_STANDIN_STANDIN_OPTIONS_H_
#define DRAGONFLYTACK_TOOLS_TARGET_STANDIN_STANDIN_OPTIONS_H_

#include <optional>
#include <string>

#include "dragonflytack/base/host_port.h"

namespace dragonflytack {

// What the stand-in is started with.
struct StandinOptions final {
  std::string service;
  // Where it takes calls.
  HostPort listen;
  // Admin port of the node beside it; announces itself there when set.
  std::optional<HostPort> admin;
  // Call port of the node beside it, for chains.
  std::optional<HostPort> call;
  int slots = 12;
  int service_ms = 5;
  // Announced as warming for this long after the start.
  int warm_up_ms = 0;

  friend bool operator==(const StandinOptions&,
                         const StandinOptions&) = default;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_TOOLS_TARGET_STANDIN_STANDIN_OPTIONS_H_
