#ifndef TOOLS_SOAK_DRIVER_RELAY_FAULT_H_
#define TOOLS_SOAK_DRIVER_RELAY_FAULT_H_

#include <cstdint>
#include <string>

namespace dragonflytack {

enum class RelayFaultKind {
  kDelay,        // Bytes arrive later.
  kReset,        // Connections are reset, new ones too while the fault lasts.
  kCutForward,   // Bytes from the daemon do not arrive.
  kCutBackward,  // Bytes to the daemon do not arrive.
  kSilence,      // No bytes arrive in either direction.
};

enum class RelayRoute { kStore, kTarget };

// A fault of the connections that daemons have to the store or to their
// targets. Bytes that a cut or silence holds back arrive when it ends.
struct RelayFault final {
  RelayFaultKind kind = RelayFaultKind::kDelay;
  RelayRoute route = RelayRoute::kStore;
  // Bit i: the daemon of node i.
  uint64_t nodes = 0;
  int delay_ms = 0;
  // Affects only the connections that are open when the fault begins.
  bool open_only = false;
  // The affected connections stay silent after the fault ends.
  bool for_good = false;

  std::string ToString() const;
};

}  // namespace dragonflytack

#endif  // TOOLS_SOAK_DRIVER_RELAY_FAULT_H_
