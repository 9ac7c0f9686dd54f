#ifndef DRAGONFLYTACK_SRC_CALLS_CALL_REQUEST_H_
#define DRAGONFLYTACK_SRC_CALLS_CALL_REQUEST_H_

#include <memory>
#include <string>

#include "accounts/allowance_limit.h"
#include "dragonflytack/base/clock.h"
#include "dragonflytack/observe/trace_context.h"
#include "dragonflytack/routing/service_route.h"
#include "dragonflytack/table/route_row.h"
#include "routing/service_pool.h"

struct evhttp_request;

namespace dragonflytack {

// Limits and priority of a call from its route in the table, or from its
// service if there is no route.
struct CallPolicy final {
  // Empty if there is no route.
  std::string route;
  ServiceKind kind = ServiceKind::kOneTime;
  // Maximum time from the arrival to the response.
  Milliseconds time_limit{0};
  // Maximum number of targets that the call may reach.
  int attempts = 1;
  // Time within which a response is fully useful to the caller; 0 if none is
  // specified.
  Milliseconds latency_objective{0};
  // Urgency; 0 is the most urgent.
  int rank = 0;
  // Whether the call needs no API key.
  bool is_public = false;

  static CallPolicy Of(const ServiceRow& row) {
    return {{}, row.kind, Milliseconds(row.deadline_ms), row.retry_limit + 1};
  }
  static CallPolicy Of(const RouteRow& route) {
    return {route.name,
            route.kind,
            Milliseconds(route.timeout_ms),
            route.attempts,
            Milliseconds(route.latency_objective_ms),
            route.rank,
            route.is_public};
  }
};

// A call as accepted by the entry node. The inbound call owns the HTTP request
// and outlives the routed call. The body is read but not consumed, so that a
// further attempt can send it again.
struct CallRequest final {
  // The row and endpoints that were in force when the call arrived.
  std::shared_ptr<const ServiceRoute> route;
  std::shared_ptr<ServicePool> pool;
  CallPolicy policy;
  // Service of the target that made the call, from the settings of the entry
  // node; may be empty.
  std::string caller_service;
  // Client account of the caller; empty if the call needs no API key.
  std::string account;
  // Limit of the account over the whole fleet; a rate of 0 is no limit.
  AllowanceLimit allowance;
  // Whether the table has accounts, so that the caller's headers for the API
  // key and the account are not forwarded.
  bool uses_accounts = false;
  // Identifier that the caller gave the call, for logs; may be empty.
  std::string call_id;
  evhttp_request* http = nullptr;
  // Path and query of the request to the target.
  std::string uri;
  // Upper limit of the time to the deadline that the caller may request.
  Milliseconds max_time_limit{0};
  TimePoint start;
  // Estimated time of the caller's first attempt, from which the latency
  // objective counts; at most `start`.
  TimePoint first_attempt;
  TimePoint deadline;
  TraceContext trace;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_CALLS_CALL_REQUEST_H_
