#ifndef DRAGONFLYTACK_DAEMON_ADMIN_SOURCE_H_
#define DRAGONFLYTACK_DAEMON_ADMIN_SOURCE_H_

#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "dragonflytack/base/failure.h"
#include "dragonflytack/calls/local_target.h"
#include "dragonflytack/observe/span.h"

namespace dragonflytack {

// What the admin port shows and takes.
class AdminSource {
 public:
  virtual ~AdminSource() = default;

  virtual nlohmann::json Status() = 0;
  virtual nlohmann::json Nodes() = 0;
  // Nothing when no table is in force, or it has no such service.
  virtual std::optional<nlohmann::json> Routes(const std::string& service) = 0;
  // Nothing when no table is in force.
  virtual std::optional<nlohmann::json> Table() = 0;
  virtual std::vector<Span> Trace(const std::string& trace_id) = 0;
  virtual std::string Metrics() = 0;
  // Returns a failure with kNone when the announcement is taken.
  virtual Failure Announce(const LocalTarget& target) = 0;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_DAEMON_ADMIN_SOURCE_H_
