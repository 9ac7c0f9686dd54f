#ifndef DRAGONFLYTACK_ONETIME_OWNER_INCARNATION_H_
#define DRAGONFLYTACK_ONETIME_OWNER_INCARNATION_H_

#include <cstdint>
#include <utility>

#include "dragonflytack/registry/node_id.h"

namespace dragonflytack {

// A process that issued keys: its node and incarnation, as in
// RouteSnapshot::successors.
using OwnerIncarnation = std::pair<NodeId, uint64_t>;

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_ONETIME_OWNER_INCARNATION_H_
