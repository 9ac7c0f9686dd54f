#ifndef DRAGONFLYTACK_SRC_BASE_CONNECTION_LIMITS_H_
#define DRAGONFLYTACK_SRC_BASE_CONNECTION_LIMITS_H_

#include <cstddef>

namespace dragonflytack {

struct Settings;

// The largest numbers of accepted connections of each port. Together they stay
// below the descriptor limit of the process and leave room for links, the
// store, targets and connections to other nodes.
struct ConnectionLimits final {
  // Of the call port, and of the mesh port.
  size_t calls = 0;
  // Of the admin, readiness and target ports each.
  size_t control = 0;
  // Of the peer port, links included.
  size_t peers = 0;

  // Divides `descriptors` among the ports.
  static ConnectionLimits FromDescriptors(size_t descriptors);

  // Returns the limits of this process: those of the settings, as far as the
  // descriptors suffice.
  static ConnectionLimits FromSettings(const Settings& settings);

  friend bool operator==(const ConnectionLimits&,
                         const ConnectionLimits&) = default;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_BASE_CONNECTION_LIMITS_H_
