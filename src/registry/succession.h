#ifndef DRAGONFLYTACK_SRC_REGISTRY_SUCCESSION_H_
#define DRAGONFLYTACK_SRC_REGISTRY_SUCCESSION_H_

#include <cstdint>

#include "dragonflytack/registry/node_id.h"

namespace dragonflytack {

// Names the node that serves the one-time records of a stopped incarnation of
// their owner.
struct Succession final {
  NodeId owner;
  uint64_t incarnation = 0;
  NodeId successor;
  // Number of handovers since the owner stopped. If records are handed over
  // again, the succession with the higher number applies.
  uint32_t generation = 1;
  // Wall time in milliseconds of the announcement, by the clock of this node.
  // If the succession is taken from a NodeRecord, the time at which it was
  // merged.
  int64_t since_ms = 0;

  friend bool operator==(const Succession&, const Succession&) = default;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_REGISTRY_SUCCESSION_H_
