#include "routing/router.h"

#include <algorithm>
#include <chrono>

#include <utility>

namespace dragonflytack {

Router::Router(const Clock* clock,
               std::string region,
               std::string data_centre,
               uint64_t seed)
    : clock_(clock),
      region_(std::move(region)),
      data_centre_(std::move(data_centre)),
      random_(seed) {}

void Router::SetRoutes(std::shared_ptr<const RouteSnapshot> routes) {
  routes_ = std::move(routes);
  std::erase_if(pools_, [this](const auto& item) {
    return routes_ == nullptr || routes_->Find(item.first) == nullptr;
  });
}

std::shared_ptr<ServicePool> Router::Find(const std::string& service) {
  if (routes_ == nullptr) {
    return nullptr;
  }
  const auto route = routes_->services.find(service);
  if (route == routes_->services.end()) {
    return nullptr;
  }
  std::shared_ptr<ServicePool>& pool = pools_[service];
  if (pool == nullptr) {
    pool =
        std::make_shared<ServicePool>(clock_, &random_, region_, data_centre_);
  }
  if (pool->route() != route->second) {
    pool->Update(route->second);
    pool->retry_budget().set_limits(NodeRetryLimits());
  }
  return pool;
}

RetryBudget::Limits Router::NodeRetryLimits() const {
  // Half of the slack is refilled over a window and half is the capacity of the
  // bucket, so that no window exceeds the whole slack. A tenth of the ratio
  // stays unused to allow for calls that are counted in an adjacent window.
  constexpr double kHalf = 0.5;
  constexpr double kRatioUsed = 0.9;
  const double nodes =
      routes_->nodes == nullptr
          ? 1
          : std::max<double>(1, static_cast<double>(routes_->nodes->size()));
  const double slack = kHalf * fleet_retry_limits_.slack / nodes;
  const std::chrono::duration<double> window = fleet_retry_limits_.window;
  return {kRatioUsed * fleet_retry_limits_.ratio, slack / window.count(),
          std::max(1.0, slack)};
}

std::shared_ptr<ServicePool> Router::DrawPool(const RouteRow& route) {
  uint64_t sum = 0;
  for (const RouteShare& share : route.shares) {
    sum += static_cast<uint64_t>(share.weight);
  }
  uint64_t drawn = random_.Below(sum);
  for (const RouteShare& share : route.shares) {
    if (drawn < static_cast<uint64_t>(share.weight)) {
      return Find(share.service);
    }
    drawn -= static_cast<uint64_t>(share.weight);
  }
  return Find(route.shares.back().service);
}

}  // namespace dragonflytack
