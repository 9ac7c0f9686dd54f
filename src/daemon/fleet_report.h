#ifndef DRAGONFLYTACK_DAEMON_FLEET_REPORT_H_
#define DRAGONFLYTACK_DAEMON_FLEET_REPORT_H_

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "daemon/admin_source.h"
#include "dragonflytack/table/table_version.h"

namespace dragonflytack {

class Clock;
class DistributionCore;
class MetricsRegistry;
class ObservedStore;
class Tracer;
class WebSocketLinkLayer;
struct RouteSnapshot;

// What the admin port shows of this node and of the fleet as it knows it.
class FleetReport final : public AdminSource {
 public:
  using AnnounceCallback = std::function<Failure(const LocalTarget&)>;

  // Versions whose time of coming into force is remembered; the history of
  // deltas has the same length.
  static constexpr size_t kMaxVersions = 64;

  struct Parts {
    const Clock* clock;
    const DistributionCore* core;
    const WebSocketLinkLayer* links;
    const ObservedStore* store;
    MetricsRegistry* metrics;
    const Tracer* tracer;
  };

  // The parts must outlive the object. `on_announce` takes announcements.
  FleetReport(const Parts& parts, AnnounceCallback on_announce);

  // Notes a snapshot that has been put in force.
  void NoteRoutes(std::shared_ptr<const RouteSnapshot> routes);

  nlohmann::json Status() override;
  nlohmann::json Nodes() override;
  std::optional<nlohmann::json> Routes(const std::string& service) override;
  std::optional<nlohmann::json> Table() override;
  std::vector<Span> Trace(const std::string& trace_id) override;
  std::string Metrics() override;
  Failure Announce(const LocalTarget& target) override;

 private:
  struct InForce {
    TableVersion version;
    int64_t time_ms;
  };

  nlohmann::json Links() const;
  void UpdateGauges();

  const Parts parts_;
  const AnnounceCallback on_announce_;
  std::shared_ptr<const RouteSnapshot> routes_;
  std::deque<InForce> versions_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_DAEMON_FLEET_REPORT_H_
