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

// What the fleet may repeat of the calls of one service: in each window `ratio`
// times the calls made, plus `slack`.
struct RetryAllowance final {
  double ratio = 0.1;
  Milliseconds window{10'000};
  int slack = 30;
};

// The snapshot in force and the pools of the services that this node calls.
class Router final {
 public:
  // `clock` must outlive the router. Region and data centre are this node's.
  Router(const Clock* clock,
         std::string region,
         std::string data_centre,
         uint64_t seed);

  // Puts a snapshot in force. Pools follow when they are next asked for, so a
  // change costs nothing for services that this node does not call.
  void SetRoutes(std::shared_ptr<const RouteSnapshot> routes);

  void set_retries(const RetryAllowance& retries) { retries_ = retries; }

  // Null before the first snapshot.
  const std::shared_ptr<const RouteSnapshot>& routes() const { return routes_; }

  // Returns the pool of a service as the snapshot in force has it, null when
  // the table has no such row.
  std::shared_ptr<ServicePool> Find(const std::string& service);

  // Returns the pool of one of the route's services, drawn by its weight. The
  // route belongs to the snapshot in force.
  std::shared_ptr<ServicePool> Draw(const RouteRow& route);

 private:
  const Clock* const clock_;
  const std::string region_;
  const std::string data_centre_;
  // This node's part of the fleet's allowance.
  RetryBudget::Limits RetryLimits() const;

  RetryAllowance retries_;
  Random random_;
  std::shared_ptr<const RouteSnapshot> routes_;
  std::unordered_map<std::string, std::shared_ptr<ServicePool>> pools_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_ROUTING_ROUTER_H_
