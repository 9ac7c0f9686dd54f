#ifndef DRAGONFLYTACK_TABLE_ROUTE_ROW_H_
#define DRAGONFLYTACK_TABLE_ROUTE_ROW_H_

#include <string>
#include <vector>

#include "dragonflytack/table/service_kind.h"

namespace dragonflytack {

// A service with its share of the calls of a route.
struct RouteShare final {
  std::string service;
  // Relative to the other shares of the route, 0 to 1,000,000.
  int weight = 1;

  friend bool operator==(const RouteShare&, const RouteShare&) = default;
};

// One row of the sheet of routes: which calls go to which services, and within
// which limits. A call takes the route of its host with the longest path prefix
// that begins its path.
struct RouteRow final {
  // The least urgent rank.
  static constexpr int kMaxRank = 1'000;

  std::string name;
  // Value of the header Host, in lower case and without a port.
  std::string host;
  // Begins and ends with '/'.
  std::string prefix = "/";
  ServiceKind kind = ServiceKind::kOneTime;
  // Longest time that a call may take, in milliseconds.
  int timeout_ms = 1000;
  // Time within which an answer serves its caller fully, in milliseconds; 0
  // means that none is stated.
  int latency_objective_ms = 0;
  // Urgency; 0 is the most urgent.
  int rank = 0;
  // Targets that one call may reach.
  int attempts = 1;
  // The services among which calls are divided; at least one weight is above
  // 0.
  std::vector<RouteShare> shares;

  friend bool operator==(const RouteRow&, const RouteRow&) = default;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_TABLE_ROUTE_ROW_H_
