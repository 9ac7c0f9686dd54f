#ifndef DRAGONFLYTACK_ROUTING_ROUTE_SNAPSHOT_H_
#define DRAGONFLYTACK_ROUTING_ROUTE_SNAPSHOT_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>

#include "dragonflytack/routing/node_location.h"
#include "dragonflytack/routing/route_index.h"
#include "dragonflytack/routing/service_route.h"
#include "dragonflytack/table/table_version.h"

namespace dragonflytack {

// Everything that routing needs, of one instant: a table version and the
// endpoints known with it. It never changes; a newer one replaces it by one
// pointer swap. Parts that did not change are shared with the previous
// snapshot.
struct RouteSnapshot final {
  TableVersion version = 0;
  std::map<std::string, std::shared_ptr<const ServiceRoute>> services;
  // The routes by host and path; null in a snapshot without routes.
  std::shared_ptr<const RouteIndex> by_host;
  // Every node that is not known to have left, by id.
  std::shared_ptr<const std::unordered_map<NodeId, NodeLocation>> nodes;
  // Who took over the one-time records of a stopped (node, incarnation).
  std::shared_ptr<const std::map<std::pair<NodeId, uint64_t>, NodeId>>
      successors;

  // Returns the route of a service, null when the table has no such row.
  const ServiceRoute* Find(const std::string& service) const;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_ROUTING_ROUTE_SNAPSHOT_H_
