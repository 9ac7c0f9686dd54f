#ifndef DRAGONFLYTACK_TABLE_ROUTE_ROW_H_
#define DRAGONFLYTACK_TABLE_ROUTE_ROW_H_

#include <cstddef>
#include <string>
#include <vector>

#include "dragonflytack/table/service_kind.h"

namespace dragonflytack {

// A service of a route with its weight.
struct RouteShare final {
  static constexpr int kMaxWeight = 1'000'000;

  std::string service;
  // Relative to the other shares of the route, 0 to kMaxWeight.
  int weight = 1;

  friend bool operator==(const RouteShare&, const RouteShare&) = default;
};

// One row of the sheet of routes: the services to which matching calls are
// sent, and the limits of these calls. A call takes the route with the longest
// prefix among those of its host whose prefix its path begins with.
struct RouteRow final {
  // The rank with the lowest urgency.
  static constexpr int kMaxRank = 1'000;
  static constexpr int kMaxTimeoutMs = 600'000;
  static constexpr int kMaxAttempts = 100;
  // Limit of each text in a table that a store has accepted: the largest value
  // of a store. The editor's limits are lower.
  static constexpr size_t kMaxTextBytes = 1'048'576;

  std::string name;
  // Value of the header Host, in lower case and without a port.
  std::string host;
  // Begins and ends with '/'.
  std::string prefix = "/";
  ServiceKind kind = ServiceKind::kOneTime;
  // Maximum duration of a call, in milliseconds.
  int timeout_ms = 1000;
  // Latency up to which a response is of full use to the caller, in
  // milliseconds; 0 means that there is no objective.
  int latency_objective_ms = 0;
  // Urgency; 0 is the most urgent.
  int rank = 0;
  // Maximum number of targets that one call may reach.
  int attempts = 1;
  // Calls need no API key, also if the table has accounts.
  bool is_public = false;
  // Services among which the calls are divided by weight. At least one weight
  // is above 0.
  std::vector<RouteShare> shares;

  friend bool operator==(const RouteRow&, const RouteRow&) = default;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_TABLE_ROUTE_ROW_H_
