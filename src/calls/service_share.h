#ifndef DRAGONFLYTACK_SRC_CALLS_SERVICE_SHARE_H_
#define DRAGONFLYTACK_SRC_CALLS_SERVICE_SHARE_H_

#include "dragonflytack/registry/node_id.h"
#include "dragonflytack/routing/service_route.h"

namespace dragonflytack {

// This node's part of limits that hold for a whole service. Every node computes
// it from the same routes, so the parts add up without coordination.
struct ServiceShare final {
  // Live endpoints of the service, this node included.
  int endpoints = 1;
  // Place of this node among them in the order of node ids, from 0.
  int rank = 0;

  static ServiceShare Of(const ServiceRoute& route, const NodeId& self);

  // Returns this node's part of `value` as a whole number. The parts add up to
  // `value`, but none is below 1 because an endpoint without a part could serve
  // nobody.
  int OfCount(int value) const;

  // Returns this node's part of a rate; fractions are kept.
  double OfRate(double value) const { return value / endpoints; }

  friend bool operator==(const ServiceShare&, const ServiceShare&) = default;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_CALLS_SERVICE_SHARE_H_
