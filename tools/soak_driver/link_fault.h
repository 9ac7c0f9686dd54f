#ifndef TOOLS_SOAK_DRIVER_LINK_FAULT_H_
#define TOOLS_SOAK_DRIVER_LINK_FAULT_H_

#include <cstdint>
#include <string>

namespace dragonflytack {

// Processes as a bit mask: bit i is node i, with its daemon and target.
using ProcessMask = uint64_t;
inline constexpr int kStoreBit = 63;
inline constexpr ProcessMask kStoreMask = ProcessMask{1} << kStoreBit;

enum class LinkFaultKind {
  kDelay,        // Bytes arrive later.
  kReset,        // Connections are reset, new ones too while the fault lasts.
  kCutForward,   // Bytes from the connecting process do not arrive.
  kCutBackward,  // Bytes to the connecting process do not arrive.
  kSilence,      // No bytes arrive in either direction.
};

// A fault of the connections between processes.
struct LinkFault final {
  LinkFaultKind kind = LinkFaultKind::kDelay;
  // A connection is affected if its connecting process is in `sources` and the
  // other one in `destinations`.
  ProcessMask sources = 0;
  ProcessMask destinations = 0;
  // Port of the connections; 0 for all.
  uint16_t port = 0;
  int delay_ms = 0;
  // Affects only the connections that are open when the fault begins.
  bool open_only = false;
  // The affected connections stay silent after the fault ends.
  bool for_good = false;

  std::string ToString() const;
};

}  // namespace dragonflytack

#endif  // TOOLS_SOAK_DRIVER_LINK_FAULT_H_
