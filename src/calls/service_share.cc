#include "calls/service_share.h"

#include <algorithm>

namespace dragonflytack {

ServiceShare ServiceShare::Of(const ServiceRoute& route, const NodeId& self) {
  ServiceShare share;
  for (const Endpoint& endpoint : route.endpoints) {
    const TargetState state = endpoint.record.state;
    if (endpoint.record.id == self || endpoint.liveness == Liveness::kDead ||
        (state != TargetState::kWarming && state != TargetState::kReady)) {
      continue;
    }
    ++share.endpoints;
    share.rank += endpoint.record.id < self ? 1 : 0;
  }
  return share;
}

int ServiceShare::OfCount(int value) const {
  return std::max(1, value / endpoints + (rank < value % endpoints ? 1 : 0));
}

}  // namespace dragonflytack
