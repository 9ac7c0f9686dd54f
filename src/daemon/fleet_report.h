#ifndef DRAGONFLYTACK_DAEMON_FLEET_REPORT_H_
#define DRAGONFLYTACK_DAEMON_FLEET_REPORT_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "daemon/admin_source.h"
#include "daemon/ejected_endpoints.h"

namespace dragonflytack {

class DistributionCore;
class MetricsRegistry;
class ObservedStore;
class Tracer;
class WebSocketLinkLayer;
struct DistributionStatus;
struct RouteSnapshot;

// What the admin port shows of this node and of the fleet as it knows it.
class FleetReport final : public AdminSource {
 public:
  using AnnounceCallback = std::function<Failure(const LocalTarget&)>;

  struct Parts {
    const DistributionCore* core;
    const WebSocketLinkLayer* links;
    const ObservedStore* store;
    MetricsRegistry* metrics;
    const Tracer* tracer;
    const Clock* clock;
  };

  // The parts must outlive the object. `on_announce` takes announcements.
  FleetReport(const Parts& parts, AnnounceCallback on_announce);

  // Notes a snapshot that has been put in force.
  void NoteRoutes(std::shared_ptr<const RouteSnapshot> routes);

  EjectedEndpoints& ejected() { return ejected_; }

  nlohmann::json Status() override;
  nlohmann::json Nodes() override;
  std::optional<nlohmann::json> Routes(const std::string& service) override;
  std::optional<nlohmann::json> Table() override;
  std::vector<Span> Trace(const std::string& trace_id) override;
  std::string Metrics() override;
  Failure Announce(const LocalTarget& target) override;

 private:
  nlohmann::json Links(const DistributionStatus& status) const;
  void UpdateCoreGauges();
  void UpdateLinkGauges();
  void UpdateGauges();

  const Parts parts_;
  const AnnounceCallback on_announce_;
  std::shared_ptr<const RouteSnapshot> routes_;
  EjectedEndpoints ejected_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_DAEMON_FLEET_REPORT_H_
