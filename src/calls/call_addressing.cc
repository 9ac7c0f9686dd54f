#include "calls/call_addressing.h"

#include <fmt/format.h>

#include "routing/router.h"

namespace dragonflytack {

CallResult CallAddressing::RefuseUnrouted(const Router& router,
                                          const char* cause) {
  const RouteSnapshot& routes = *router.routes();
  if (!routes.IsOutdated()) {
    return CallResult::Refused(CallReason::kNoService, cause);
  }
  return CallResult::Refused(
      CallReason::kTableOutdated,
      fmt::format("{}; version {} is in force, but version {} exists", cause,
                  routes.version, routes.newest_version));
}

}  // namespace dragonflytack
