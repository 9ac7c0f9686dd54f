#ifndef DRAGONFLYTACK_SRC_CALLS_CALL_REQUEST_H_
#define DRAGONFLYTACK_SRC_CALLS_CALL_REQUEST_H_

#include <memory>
#include <string>

#include "dragonflytack/base/clock.h"
#include "dragonflytack/observe/trace_context.h"
#include "dragonflytack/routing/service_route.h"
#include "routing/service_pool.h"

struct evhttp_request;

namespace dragonflytack {

// A call as the entry node took it. The HTTP request stays with the inbound
// call, which outlives the routed call; its body is read but not consumed, so
// that a further attempt can send it again.
struct CallRequest final {
  // The row and endpoints that were in force when the call arrived.
  std::shared_ptr<const ServiceRoute> route;
  std::shared_ptr<ServicePool> pool;
  evhttp_request* http = nullptr;
  // Path and query for the target.
  std::string uri;
  TimePoint start;
  TimePoint deadline;
  TraceContext trace;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_CALLS_CALL_REQUEST_H_
