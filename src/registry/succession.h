#ifndef DRAGONFLYTACK_SRC_REGISTRY_SUCCESSION_H_
#define DRAGONFLYTACK_SRC_REGISTRY_SUCCESSION_H_

#include <cstdint>

#include "dragonflytack/registry/node_id.h"

namespace dragonflytack {

// Says who answers for the one-time records of a stopped (home, incarnation).
struct Succession final {
  NodeId owner;
  uint64_t incarnation = 0;
  NodeId successor;
  // Number of handovers since the home. The higher one holds when records are
  // handed over again.
  uint32_t generation = 1;
  // Wall time in milliseconds at which this node learned of it.
  int64_t since_ms = 0;

  friend bool operator==(const Succession&, const Succession&) = default;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_REGISTRY_SUCCESSION_H_
