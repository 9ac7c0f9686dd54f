#ifndef DRAGONFLYTACK_SRC_CALLS_ALLOWANCE_EXCHANGE_H_
#define DRAGONFLYTACK_SRC_CALLS_ALLOWANCE_EXCHANGE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "accounts/allowance_gate.h"
#include "accounts/allowance_limit.h"
#include "accounts/allowance_node.h"
#include "calls/call_context.h"
#include "calls/connection_probe.h"
#include "calls/exchange.h"
#include "dragonflytack/base/clock.h"
#include "dragonflytack/base/timer_service.h"

struct evhttp_request;

namespace dragonflytack {

class Counter;
class Gauge;
class InboundCall;
class MetricsRegistry;
struct NodeLocation;

// Limits the calls of accounts over the whole fleet: sends and receives the
// messages of AllowanceNode. Sends nothing while no account with a limit has
// calls.
class AllowanceExchange final {
 public:
  static constexpr char kPath[] = "/-/allowances";

  // The pointers must outlive the object.
  AllowanceExchange(const CallContext* context,
                    const AllowanceBounds& bounds,
                    std::string shared_key,
                    uint64_t incarnation,
                    MetricsRegistry* metrics);
  ~AllowanceExchange();
  AllowanceExchange(const AllowanceExchange&) = delete;
  AllowanceExchange& operator=(const AllowanceExchange&) = delete;

  // The router has a new snapshot.
  void OnRoutes();

  using Callback = std::function<void(const AllowanceGate::Answer& answer)>;

  // Decides on a call. If it has to wait, `ticket` is set, and `callback` is
  // called later, within kAllowanceMaxWait, with another answer than kWaits.
  AllowanceGate::Answer Ask(const std::string& account,
                            const AllowanceLimit& limit,
                            uint64_t* ticket,
                            Callback callback);
  // Ends the wait of a call without a callback.
  void Cancel(uint64_t ticket);

  // Responds to a request of the mesh port if it is for this part. Returns
  // whether it is.
  bool OnMeshRequest(evhttp_request* request);

 private:
  struct Refusals {
    TimePoint logged{};
    uint64_t count = 0;
  };

  TimePoint Now() const;
  // Returns null if the node is not known.
  const NodeLocation* FindLocation(const NodeId& node) const;
  void Tick();
  // Sends what is due, answers calls and requests, and sets the timer.
  void Pump();
  void SetDeadline();
  void Send(AllowanceNode::Message message);
  void OnExchangeFinished(uint64_t message,
                          const NodeId& to,
                          ExchangeOutcome outcome,
                          HttpRequestPtr response);
  void OnNoResponse(uint64_t message, const NodeId& to);
  void Finish(const AllowanceNode::Decision& decision);
  void Reply(const AllowanceNode::Reply& reply);
  // Tests whether the process of a silent node has ended.
  void Probe(const NodeId& node);
  void CountRefusal(const std::string& account);

  const CallContext* const context_;
  const std::string shared_key_;
  AllowanceNode node_;
  bool is_pumping_ = false;
  std::unordered_map<uint64_t, Callback> callbacks_;
  std::unordered_map<uint64_t, std::unique_ptr<Exchange>> exchanges_;
  std::unordered_map<uint64_t, std::unique_ptr<InboundCall>> inbound_;
  std::unordered_map<NodeId, std::unique_ptr<ConnectionProbe>> probes_;
  std::unordered_map<std::string, Refusals> refusals_;
  TimePoint next_sweep_{};
  TimerId tick_timer_ = 0;
  TimerId deadline_timer_ = 0;
  // The time that `deadline_timer_` is set to.
  std::optional<TimePoint> deadline_;
  Counter* const requests_;
  Counter* const no_responses_;
  Counter* const waits_;
  Gauge* const entry_accounts_;
  Gauge* const home_accounts_;
  Gauge* const agent_accounts_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_CALLS_ALLOWANCE_EXCHANGE_H_
