#include "routing/router.h"

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
  }
  return pool;
}

}  // namespace dragonflytack
