#ifndef DRAGONFLYTACK_TABLE_SERVICE_ROW_H_
#define DRAGONFLYTACK_TABLE_SERVICE_ROW_H_

#include <cstdint>
#include <map>
#include <string>

#include "dragonflytack/table/service_kind.h"

namespace dragonflytack {

// One row of the table: the weights and limits of a service.
struct ServiceRow final {
  static constexpr int kDefaultWeight = 100;

  // 1 to 63 characters of a-z, 0-9 and '-'.
  std::string service;
  ServiceKind kind = ServiceKind::kIdempotent;
  // Weight of each region, 0 to 1000. Regions that are not named have
  // kDefaultWeight.
  std::map<std::string, int> weights;
  // Calls in flight in the whole service; 0 means no limit.
  int max_concurrency = 0;
  // Calls waiting beside one endpoint.
  int max_queue = 64;
  // Connections to one endpoint.
  int max_connections = 120;
  // Calls that one endpoint runs at a time.
  int slots = 12;
  // Calls a second in the whole service; 0 means no limit.
  int rate_limit = 0;
  // Time a call may take when the caller names none, in milliseconds.
  int deadline_ms = 1000;
  // Further attempts after the first one.
  int retry_limit = 1;

  friend bool operator==(const ServiceRow&, const ServiceRow&) = default;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_TABLE_SERVICE_ROW_H_
