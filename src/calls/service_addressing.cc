#include "calls/service_addressing.h"

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>

#include <event2/http.h>

#include "calls/call_request.h"
#include "calls/http_headers.h"
#include "routing/router.h"

namespace dragonflytack {

namespace {

// Upper limit of the deadlines of callers.
constexpr Milliseconds kMaxDeadline{60'000};

struct CallPath {
  std::string service;
  std::string uri;
};

// Splits "/<service>/<path>". If the header x-service names the service, the
// complete path is for the target. The service is empty if none is named.
CallPath ParsePath(std::string_view uri, std::string_view service_header) {
  if (!uri.starts_with('/')) {
    return {};
  }
  if (!service_header.empty()) {
    return {std::string(service_header), std::string(uri)};
  }
  const size_t end = std::min(uri.find_first_of("/?", 1), uri.size());
  std::string rest(uri.substr(end));
  if (!rest.starts_with('/')) {
    rest.insert(0, 1, '/');
  }
  return {std::string(uri.substr(1, end - 1)), std::move(rest)};
}

}  // namespace

std::optional<CallResult> ServiceAddressing::Resolve(Router* router,
                                                     evhttp_request* request,
                                                     CallRequest* call) const {
  CallPath path = ParsePath(
      evhttp_request_get_uri(request),
      FindHeader(evhttp_request_get_input_headers(request), kServiceHeader));
  if (path.service.empty()) {
    return CallResult::Refused(CallReason::kBadRequest,
                               "the path does not name a service");
  }
  call->pool = router->Find(path.service);
  if (call->pool == nullptr) {
    return RefuseUnrouted(*router, "the table has no such service");
  }
  call->policy = CallPolicy::Of(call->pool->route()->row);
  call->max_time_limit = kMaxDeadline;
  call->uri = std::move(path.uri);
  return std::nullopt;
}

}  // namespace dragonflytack
