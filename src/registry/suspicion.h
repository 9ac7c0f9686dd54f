#ifndef DRAGONFLYTACK_SRC_REGISTRY_SUSPICION_H_
#define DRAGONFLYTACK_SRC_REGISTRY_SUSPICION_H_

#include <cstdint>

#include "dragonflytack/registry/node_id.h"

namespace dragonflytack {

// The claim that a node with exactly this revision, (incarnation, sequence), is
// unresponsive. A later record of the node refutes it.
struct Suspicion final {
  NodeId id;
  uint64_t incarnation = 0;
  uint64_t sequence = 0;

  friend bool operator==(const Suspicion&, const Suspicion&) = default;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_REGISTRY_SUSPICION_H_
