#ifndef DRAGONFLYTACK_ROUTING_ENDPOINT_H_
#define DRAGONFLYTACK_ROUTING_ENDPOINT_H_

#include "dragonflytack/registry/liveness.h"
#include "dragonflytack/registry/node_record.h"

namespace dragonflytack {

// A target with the node beside it, as recorded in one route snapshot.
struct Endpoint final {
  NodeRecord record;
  Liveness liveness = Liveness::kAlive;

  friend bool operator==(const Endpoint&, const Endpoint&) = default;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_ROUTING_ENDPOINT_H_
