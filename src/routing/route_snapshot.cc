#include "dragonflytack/routing/route_snapshot.h"

namespace dragonflytack {

const ServiceRoute* RouteSnapshot::Find(const std::string& service) const {
  const auto found = services.find(service);
  return found == services.end() ? nullptr : found->second.get();
}

}  // namespace dragonflytack
