#ifndef DRAGONFLYTACK_ROUTING_ROUTE_SNAPSHOT_H_
#define DRAGONFLYTACK_ROUTING_ROUTE_SNAPSHOT_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>

#include "dragonflytack/accounts/account_index.h"
#include "dragonflytack/routing/node_location.h"
#include "dragonflytack/routing/route_index.h"
#include "dragonflytack/routing/service_route.h"
#include "dragonflytack/table/table_version.h"

namespace dragonflytack {

// Immutable snapshot of all data that routing needs: one table version and the
// endpoints known when the snapshot was built. A newer snapshot replaces it by
// one pointer swap and shares the unchanged parts with it.
struct RouteSnapshot final {
  TableVersion version = 0;
  // Highest version that the node knows to exist, in force or not.
  TableVersion newest_version = 0;
  std::map<std::string, std::shared_ptr<const ServiceRoute>> services;
  // Routes by host and path; null in a snapshot without routes.
  std::shared_ptr<const RouteIndex> route_index;
  // Client accounts by key; null if the table has none, so that calls need no
  // key.
  std::shared_ptr<const AccountIndex> accounts;
  // All nodes by id, except those known to have left.
  std::shared_ptr<const std::unordered_map<NodeId, NodeLocation>> nodes;
  // Maps a stopped (node, incarnation) to the node that took over its one-time
  // records.
  std::shared_ptr<const std::map<std::pair<NodeId, uint64_t>, NodeId>>
      successors;

  // Whether a version newer than the one in force is known to exist. It may
  // have routes and services that this snapshot lacks.
  bool IsOutdated() const { return newest_version > version; }

  // Returns the route of a service, or null if the table has no such row.
  const ServiceRoute* Find(const std::string& service) const;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_ROUTING_ROUTE_SNAPSHOT_H_
