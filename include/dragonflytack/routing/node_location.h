#ifndef DRAGONFLYTACK_ROUTING_NODE_LOCATION_H_
#define DRAGONFLYTACK_ROUTING_NODE_LOCATION_H_

#include <cstdint>
#include <string>

#include "dragonflytack/registry/liveness.h"
#include "dragonflytack/registry/node_id.h"

namespace dragonflytack {

// Address and current incarnation of a node to which other nodes send messages:
// the owner of a one-time key, the successor that took over the records of an
// earlier incarnation, or the home node of an account.
struct NodeLocation final {
  NodeId id;
  uint64_t incarnation = 0;
  std::string address;
  uint16_t mesh_port = 0;
  Liveness liveness = Liveness::kAlive;
  std::string data_centre;

  friend bool operator==(const NodeLocation&, const NodeLocation&) = default;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_ROUTING_NODE_LOCATION_H_
