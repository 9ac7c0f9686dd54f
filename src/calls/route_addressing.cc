#include "calls/route_addressing.h"

#include <string_view>

#include <event2/http.h>

#include "calls/call_request.h"
#include "calls/http_headers.h"
#include "dragonflytack/routing/route_index.h"
#include "routing/router.h"

namespace dragonflytack {

std::optional<CallResult> RouteAddressing::Resolve(Router* router,
                                                   evhttp_request* request,
                                                   CallRequest* call) const {
  const std::string_view uri = evhttp_request_get_uri(request);
  const auto& index = router->routes()->route_index;
  const RouteRow* const route =
      index == nullptr
          ? nullptr
          : index->Find(
                FindHeader(evhttp_request_get_input_headers(request), "Host"),
                uri);
  if (route == nullptr) {
    return RefuseUnrouted(*router, "no route has the host and path");
  }
  call->policy = CallPolicy::Of(*route);
  call->max_time_limit = call->policy.time_limit;
  call->uri = uri;
  call->pool = router->DrawPool(*route);
  return std::nullopt;
}

}  // namespace dragonflytack
