#ifndef DRAGONFLYTACK_SRC_CALLS_SERVICE_SHARE_H_
#define DRAGONFLYTACK_SRC_CALLS_SERVICE_SHARE_H_

#include "dragonflytack/registry/node_id.h"
#include "dragonflytack/routing/service_route.h"

namespace dragonflytack {

// This node's share of limits that apply to a whole service. Every node
// computes it from the same routes, so the shares add up without coordination.
struct ServiceShare final {
  // Live endpoints of the service, including this node.
  int endpoints = 1;
  // Position of this node among them in order of node ids, from 0.
  int rank = 0;

  static ServiceShare Of(const ServiceRoute& route, const NodeId& self);

  // Returns this node's share of `value` as a whole number. The shares add up
  // to `value`, except that none is below 1: an endpoint with a limit of 0
  // could not serve any call.
  int OfCount(int value) const;

  // Returns this node's share of a rate, which need not be a whole number.
  double OfRate(double value) const { return value / endpoints; }

  friend bool operator==(const ServiceShare&, const ServiceShare&) = default;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_CALLS_SERVICE_SHARE_H_
