#ifndef DRAGONFLYTACK_SRC_ROUTING_ROUTER_H_
#define DRAGONFLYTACK_SRC_ROUTING_ROUTER_H_

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>

#include "dragonflytack/base/random.h"
#include "dragonflytack/routing/route_snapshot.h"
#include "routing/service_pool.h"

namespace dragonflytack {

// Limit on the retries of one service in the whole fleet: in each window
// `ratio` times the number of calls, plus `slack`.
struct FleetRetryLimits final {
  double ratio = 0.1;
  Milliseconds window{10'000};
  int slack = 30;
};

// Holds the snapshot in force and the pools of the services that this node
// calls.
class Router final {
 public:
  // `clock` must outlive the router. `region` and `data_centre` are those of
  // this node.
  Router(const Clock* clock,
         std::string region,
         std::string data_centre,
         uint64_t seed);

  // Puts a snapshot in force. A pool is updated when it is next requested, so a
  // new snapshot costs nothing for services that this node does not call.
  void SetRoutes(std::shared_ptr<const RouteSnapshot> routes);

  void set_fleet_retry_limits(const FleetRetryLimits& limits) {
    fleet_retry_limits_ = limits;
  }

  // Null before the first snapshot.
  const std::shared_ptr<const RouteSnapshot>& routes() const { return routes_; }

  // Returns the pool of a service, updated to the snapshot in force, or null if
  // the table has no such row.
  std::shared_ptr<ServicePool> Find(const std::string& service);

  // Returns the pool of one of the services of `route`, drawn at random by
  // weight. `route` must belong to the snapshot in force.
  std::shared_ptr<ServicePool> DrawPool(const RouteRow& route);

 private:
  const Clock* const clock_;
  const std::string region_;
  const std::string data_centre_;
  // Returns this node's part of the limits of the fleet.
  RetryBudget::Limits NodeRetryLimits() const;

  FleetRetryLimits fleet_retry_limits_;
  Random random_;
  std::shared_ptr<const RouteSnapshot> routes_;
  std::unordered_map<std::string, std::shared_ptr<ServicePool>> pools_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_ROUTING_ROUTER_H_
