#ifndef DRAGONFLYTACK_TABLE_SERVICE_ROW_H_
#define DRAGONFLYTACK_TABLE_SERVICE_ROW_H_

#include <cstdint>
#include <map>
#include <string>

#include "dragonflytack/table/service_kind.h"

namespace dragonflytack {

// One row of the sheet of services: the weights and limits of a service.
struct ServiceRow final {
  static constexpr int kDefaultWeight = 100;
  static constexpr int kMaxConnections = 100'000;

  // 1 to 63 characters of a-z, 0-9 and '-', if the editor wrote the row.
  // Another system's store may have accepted other characters except control
  // characters.
  std::string service;
  ServiceKind kind = ServiceKind::kIdempotent;
  // Weight of each region, 0 to 1000. Regions that are not listed have
  // kDefaultWeight.
  std::map<std::string, int> weights;
  // Maximum number of calls in flight in the whole service; 0 means no limit.
  int max_concurrency = 0;
  // Maximum number of calls queued at one endpoint.
  int max_queue = 64;
  // Maximum number of connections to one endpoint.
  int max_connections = 120;
  // Number of calls that one endpoint executes concurrently.
  int slots = 12;
  // Calls per second in the whole service; 0 means no limit.
  int rate_limit = 0;
  // Deadline of calls for which the caller sets none, in milliseconds.
  int deadline_ms = 1000;
  // Maximum number of retries of a call.
  int retry_limit = 1;

  friend bool operator==(const ServiceRow&, const ServiceRow&) = default;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_TABLE_SERVICE_ROW_H_
