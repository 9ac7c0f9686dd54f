#ifndef DRAGONFLYTACK_SRC_CALLS_CALL_REQUEST_H_
#define DRAGONFLYTACK_SRC_CALLS_CALL_REQUEST_H_

#include <memory>
#include <string>

#include "dragonflytack/base/clock.h"
#include "dragonflytack/observe/trace_context.h"
#include "dragonflytack/routing/service_route.h"
#include "dragonflytack/table/route_row.h"
#include "routing/service_pool.h"

struct evhttp_request;

namespace dragonflytack {

// What the table allows a call, by its route or else by its service.
struct CallPolicy final {
  ServiceKind kind = ServiceKind::kOneTime;
  // Longest time from the arrival to the answer.
  Milliseconds time_limit{0};
  // Targets that the call may reach.
  int attempts = 1;
  // Time within which an answer serves the caller fully; 0 when none is stated.
  Milliseconds latency_objective{0};
  // Urgency; 0 is the most urgent.
  int rank = 0;

  static CallPolicy Of(const ServiceRow& row) {
    return {row.kind, Milliseconds(row.deadline_ms), row.retry_limit + 1};
  }
  static CallPolicy Of(const RouteRow& route) {
    return {route.kind, Milliseconds(route.timeout_ms), route.attempts,
            Milliseconds(route.latency_objective_ms), route.rank};
  }
};

// A call as the entry node took it. The HTTP request stays with the inbound
// call, which outlives the routed call; its body is read but not consumed, so
// that a further attempt can send it again.
struct CallRequest final {
  // The row and endpoints that were in force when the call arrived.
  std::shared_ptr<const ServiceRoute> route;
  std::shared_ptr<ServicePool> pool;
  CallPolicy policy;
  // Service of the target that made the call; empty when the own interface
  // gave none.
  std::string caller_service;
  // The caller's name for the call, for logs; may be empty.
  std::string call_id;
  evhttp_request* http = nullptr;
  // Path and query for the target.
  std::string uri;
  // The longest time that the table lets the caller ask for.
  Milliseconds longest{0};
  TimePoint start;
  TimePoint deadline;
  TraceContext trace;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_CALLS_CALL_REQUEST_H_
