#ifndef DRAGONFLYTACK_SRC_ROLLOUT_ROLLOUT_CONTROLLER_H_
#define DRAGONFLYTACK_SRC_ROLLOUT_ROLLOUT_CONTROLLER_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "dragonflytack/base/settings.h"
#include "dragonflytack/base/timer_service.h"
#include "dragonflytack/registry/node_id.h"
#include "dragonflytack/routing/route_snapshot.h"
#include "dragonflytack/store/rollout_orders.h"
#include "net/http_connection.h"
#include "rollout/rollout_metrics.h"
#include "rollout/rollout_session.h"

namespace dragonflytack {

class DistributionCore;
class EventLoop;
class Logger;
class MetricsRegistry;
class StoreClient;

// The roll-out controller of a node. It is active on the two live nodes with
// the highest rank, which watch the orders, collect the evidence and publish
// the shares. On the other nodes it makes no call.
class RolloutController final {
 public:
  static constexpr size_t kControllers = 2;
  static constexpr Milliseconds kTickPeriod{100};
  // Interval of the evidence, and before `completed`, when calls to the new
  // release are many.
  static constexpr Milliseconds kEvidencePeriod{500};
  static constexpr Milliseconds kFinalEvidencePeriod{250};
  // Interval on the controller that does not decide. It collects at once when
  // it takes over.
  static constexpr Milliseconds kStandbyEvidencePeriod{2'000};
  // A starting node knows few others and ranks too high among them.
  static constexpr Milliseconds kStartDelay{3'000};

  // The pointers must outlive the object.
  RolloutController(const Settings& settings,
                    EventLoop* loop,
                    StoreClient* store,
                    DistributionCore* core,
                    std::unique_ptr<RolloutOrders> orders,
                    MetricsRegistry* metrics,
                    Logger* logger);
  ~RolloutController();
  RolloutController(const RolloutController&) = delete;
  RolloutController& operator=(const RolloutController&) = delete;

  void OnRoutes(std::shared_ptr<const RouteSnapshot> routes);

  // The controllers by rank, the shares in force and the roll-outs of this
  // controller.
  nlohmann::json Status() const;

 private:
  void Tick();
  // Updates `ranked_` if the nodes have changed.
  void UpdateRanks();
  void Watch();
  void OnOrder(const RolloutOrder& order);
  // Handles one roll-out: collects the evidence if it is due, and decides.
  void TickSession(RolloutSession* session, TimePoint now);
  void Decide(RolloutSession* session);
  // Requests the evidence of all targets of the service. With `is_last` the
  // session decides when all of it has arrived.
  void CollectEvidence(const RolloutSession& session, bool is_last);
  // `pending` is the number of requests without a response.
  void CollectFrom(const RolloutSession& session,
                   const Endpoint& endpoint,
                   bool is_last,
                   const std::shared_ptr<int>& pending);
  void OnEvidence(RolloutSession* session,
                  const NodeId& node,
                  const HttpResponse& response);
  void PollOtherController();
  bool HasNewTarget(const RolloutOrder& order) const;
  HttpConnection* ConnectionTo(const NodeId& node, const HostPort& admin);
  HttpRequest MakeRequest(std::string target) const;

  const Settings settings_;
  const std::string authorization_;
  EventLoop* const loop_;
  DistributionCore* const core_;
  Logger* const logger_;
  RolloutMetrics metrics_;
  RolloutSession::Dependencies session_dependencies_;
  std::shared_ptr<const RouteSnapshot> routes_;
  // The map of nodes for which `ranked_` was computed.
  std::shared_ptr<const std::unordered_map<NodeId, NodeLocation>> ranked_nodes_;
  // Controllers by falling rank.
  std::vector<NodeId> ranked_;
  bool is_controller_ = false;
  bool watching_ = false;
  TimePoint started_;
  TimePoint watch_at_;
  TimePoint role_checked_;
  TimePoint other_polled_;
  std::map<std::string, std::unique_ptr<RolloutSession>> sessions_;
  std::map<std::string, TimePoint> collected_;
  std::map<NodeId, std::unique_ptr<HttpConnection>> connections_;
  TimerId timer_ = 0;
  // Declared last, so that pending callbacks end first.
  const std::unique_ptr<RolloutOrders> orders_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_ROLLOUT_ROLLOUT_CONTROLLER_H_
