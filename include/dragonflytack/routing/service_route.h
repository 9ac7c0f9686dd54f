#ifndef DRAGONFLYTACK_ROUTING_SERVICE_ROUTE_H_
#define DRAGONFLYTACK_ROUTING_SERVICE_ROUTE_H_

#include <vector>

#include "dragonflytack/routing/endpoint.h"
#include "dragonflytack/table/service_row.h"

namespace dragonflytack {

// A service row of the table together with the known endpoints of the service,
// in any state and sorted by node id.
struct ServiceRoute final {
  ServiceRow row;
  std::vector<Endpoint> endpoints;

  friend bool operator==(const ServiceRoute&, const ServiceRoute&) = default;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_ROUTING_SERVICE_ROUTE_H_
