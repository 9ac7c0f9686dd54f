#ifndef DRAGONFLYTACK_ROUTING_SERVICE_ROUTE_H_
#define DRAGONFLYTACK_ROUTING_SERVICE_ROUTE_H_

#include <map>
#include <string>
#include <vector>

#include "dragonflytack/base/clock.h"
#include "dragonflytack/registry/rollout_share.h"
#include "dragonflytack/routing/endpoint.h"
#include "dragonflytack/table/service_row.h"

namespace dragonflytack {

// A service row of the table together with the known endpoints of the service,
// in any state and sorted by node id.
struct ServiceRoute final {
  ServiceRow row;
  std::vector<Endpoint> endpoints;
  // The share of a roll-out; all targets are equal if its release is empty.
  RolloutShare rollout;
  // Releases that get no calls before a time, see RouteBuilder.
  std::map<std::string, TimePoint> held_releases;

  friend bool operator==(const ServiceRoute&, const ServiceRoute&) = default;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_ROUTING_SERVICE_ROUTE_H_
