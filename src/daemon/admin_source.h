#ifndef DRAGONFLYTACK_DAEMON_ADMIN_SOURCE_H_
#define DRAGONFLYTACK_DAEMON_ADMIN_SOURCE_H_

#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "daemon/announcement_callback.h"
#include "dragonflytack/observe/span.h"

namespace dragonflytack {

// Provides the data that the admin port shows and handles the announcements
// that it receives.
class AdminSource {
 public:
  virtual ~AdminSource() = default;

  virtual nlohmann::json Status() = 0;
  virtual nlohmann::json Nodes() = 0;
  // Returns std::nullopt if no table is in force or it lacks the service.
  virtual std::optional<nlohmann::json> Routes(const std::string& service) = 0;
  // Returns std::nullopt if no table is in force.
  virtual std::optional<nlohmann::json> Table() = 0;
  // The evidence about the local target's release, std::nullopt if `since` is
  // its revision.
  virtual std::optional<nlohmann::json> Evidence(const std::string& since) = 0;
  // The roll-out shares in force and the roll-outs that this node controls.
  virtual nlohmann::json Rollouts() = 0;
  virtual std::vector<Span> Trace(const std::string& trace_id) = 0;
  virtual std::string Metrics() = 0;
  // See AnnouncementCallback.
  virtual void HandleAnnouncement(const LocalTarget& target,
                                  AnnouncementReply reply) = 0;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_DAEMON_ADMIN_SOURCE_H_
