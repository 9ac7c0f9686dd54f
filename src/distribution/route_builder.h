#ifndef DRAGONFLYTACK_SRC_DISTRIBUTION_ROUTE_BUILDER_H_
#define DRAGONFLYTACK_SRC_DISTRIBUTION_ROUTE_BUILDER_H_

#include <map>
#include <memory>
#include <string>

#include "dragonflytack/base/clock.h"
#include "dragonflytack/table/table_version.h"

namespace dragonflytack {

class Registry;
class Table;
struct RouteSnapshot;
struct ServiceRoute;

// Builds route snapshots from the table in force and the registry. Unchanged
// services and an unchanged map of nodes are shared with the previous snapshot.
class RouteBuilder final {
 public:
  // Targets of a release that is new to a service may start within milliseconds
  // of a roll-out order. They get no calls for this time, in which the share of
  // the order arrives: it covers a controller that is replaced because it has
  // been silent for 2.5 s.
  static constexpr Milliseconds kHoldTime{3'000};

  // `holds_new_releases` is whether releases are held, see kHoldTime.
  RouteBuilder(Registry* registry, bool holds_new_releases)
      : registry_(registry), holds_new_releases_(holds_new_releases) {}

  // `newest_version` is the highest table version that the node knows to
  // exist. Returns the previous snapshot if there are no changes. Resets the
  // registry's change flags.
  std::shared_ptr<const RouteSnapshot> Build(
      const std::shared_ptr<const Table>& table,
      TableVersion newest_version);

 private:
  // Sets the share and the held releases of a route with new endpoints.
  void SetReleases(const std::string& service, ServiceRoute* route);

  Registry* const registry_;
  const bool holds_new_releases_;
  // When this node first saw each release that has targets, by service.
  std::map<std::string, std::map<std::string, TimePoint>> first_seen_;
  std::shared_ptr<const Table> table_;
  std::shared_ptr<const RouteSnapshot> previous_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_DISTRIBUTION_ROUTE_BUILDER_H_
