#ifndef DRAGONFLYTACK_TOOLS_TARGET_STANDIN_STANDIN_OPTIONS_H_
#define DRAGONFLYTACK_TOOLS_TARGET_STANDIN_STANDIN_OPTIONS_H_

#include <optional>
#include <string>

#include "dragonflytack/base/host_port.h"

namespace dragonflytack {

// Options of the target stand-in.
struct StandinOptions final {
  std::string service;
  // Address on which the stand-in serves calls.
  HostPort listen;
  // Admin port of the node beside it, to which announcements are sent. If not
  // set, the stand-in sends none.
  std::optional<HostPort> admin;
  // Call port of the node beside it, for the calls of chains.
  std::optional<HostPort> call;
  // Announced instead of `listen`.
  std::optional<HostPort> announced;
  // Announced release, none if empty.
  std::string release;
  int slots = 12;
  int service_ms = 5;
  // The state "warming" is announced for this long after the start.
  int warm_up_ms = 0;

  friend bool operator==(const StandinOptions&,
                         const StandinOptions&) = default;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_TOOLS_TARGET_STANDIN_STANDIN_OPTIONS_H_
