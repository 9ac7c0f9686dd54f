#ifndef DRAGONFLYTACK_DAEMON_FLEET_REPORT_H_
#define DRAGONFLYTACK_DAEMON_FLEET_REPORT_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "daemon/admin_source.h"
#include "daemon/ejected_endpoints.h"
#include "dragonflytack/rollout/release_evidence.h"

namespace dragonflytack {

class DistributionCore;
class MetricsRegistry;
class ObservedStore;
class RolloutController;
class Tracer;
class WebSocketLinkLayer;
struct DistributionStatus;
struct RouteSnapshot;

// Provides the data of the admin port: the state of this node, and of the fleet
// as recorded in this node's registry.
class FleetReport final : public AdminSource {
 public:
  struct Dependencies {
    const DistributionCore* core;
    const WebSocketLinkLayer* links;
    const ObservedStore* store;
    MetricsRegistry* metrics;
    const Tracer* tracer;
    const Clock* clock;
  };

  // The dependencies must outlive the object. `on_announcement` handles
  // announcements.
  FleetReport(const Dependencies& dependencies,
              AnnouncementCallback on_announcement);

  // Sets the snapshot that is in force. If it has a newer version of the table,
  // records the time from the edit to now.
  void SetRoutes(std::shared_ptr<const RouteSnapshot> routes);

  // Sets the latest evidence about the local target's release.
  void SetEvidence(ReleaseEvidence evidence) {
    evidence_ = std::move(evidence);
    ++evidence_revision_;
  }
  // Sets the controller whose roll-outs are shown.
  void SetRolloutController(const RolloutController* controller) {
    rollout_controller_ = controller;
  }

  EjectedEndpoints& ejected() { return ejected_; }

  nlohmann::json Status() override;
  nlohmann::json Nodes() override;
  std::optional<nlohmann::json> Routes(const std::string& service) override;
  std::optional<nlohmann::json> Table() override;
  std::optional<nlohmann::json> Evidence(const std::string& since) override;
  nlohmann::json Rollouts() override;
  std::vector<Span> Trace(const std::string& trace_id) override;
  std::string Metrics() override;
  void HandleAnnouncement(const LocalTarget& target,
                          AnnouncementReply reply) override;

 private:
  nlohmann::json Links(const DistributionStatus& status) const;
  void UpdateCoreGauges();
  void UpdateLinkGauges();
  void UpdateGauges();

  const Dependencies dependencies_;
  const AnnouncementCallback on_announcement_;
  std::shared_ptr<const RouteSnapshot> routes_;
  EjectedEndpoints ejected_;
  ReleaseEvidence evidence_;
  // Starts with the time, so that it repeats no revision of a process that ran
  // before: evidence is set less often than once in a millisecond.
  uint64_t evidence_revision_;
  // Null if there are no roll-outs.
  const RolloutController* rollout_controller_ = nullptr;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_DAEMON_FLEET_REPORT_H_
