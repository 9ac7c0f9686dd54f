#ifndef DRAGONFLYTACK_SRC_CALLS_ALLOWANCE_EXCHANGE_H_
#define DRAGONFLYTACK_SRC_CALLS_ALLOWANCE_EXCHANGE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "accounts/allowance_gate.h"
#include "accounts/allowance_homes.h"
#include "accounts/allowance_ledger.h"
#include "accounts/allowance_limit.h"
#include "calls/call_context.h"
#include "calls/connection_probe.h"
#include "calls/exchange.h"
#include "dragonflytack/base/clock.h"
#include "dragonflytack/base/timer_service.h"

struct evhttp_request;

namespace dragonflytack {

class Counter;
class Gauge;
class MetricsRegistry;
struct NodeLocation;

// Limits the calls of accounts over the whole fleet: sends requests to the home
// nodes of the accounts for permits, and answers as a home node. Sends nothing
// while no account with a limit has calls.
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
  struct WaitingCall {
    std::string account;
    Callback callback;
    TimerId timer = 0;
  };
  struct Sent {
    std::unique_ptr<Exchange> exchange;
    std::vector<std::string> accounts;
    TimePoint time{};
    // Calls up to this ticket are covered by the reports.
    uint64_t last_ticket = 0;
  };
  struct Refusals {
    TimePoint logged{};
    uint64_t count = 0;
  };

  TimePoint Now() const;
  // Returns null if the node is not known.
  const NodeLocation* FindLocation(const NodeId& node) const;
  void Tick();
  void SendDue();
  void Send(const NodeId& home, std::vector<AllowanceReport> reports);
  void OnExchangeFinished(const NodeId& home,
                          ExchangeOutcome outcome,
                          HttpRequestPtr response);
  void OnNoResponse(const NodeId& home, const Sent& sent);
  // Answers the waiting calls of an account up to a ticket.
  void Resolve(const std::string& account, uint64_t last_ticket);
  void Finish(uint64_t ticket);
  // Tests whether the process of a silent node has ended.
  void Probe(const NodeId& node, bool is_home);
  void CountRefusal(const std::string& account);

  const CallContext* const context_;
  const std::string shared_key_;
  const uint64_t incarnation_;
  AllowanceGate gate_;
  AllowanceLedger ledger_;
  AllowanceHomes homes_;
  uint64_t sequence_ = 0;
  uint64_t next_ticket_ = 1;
  std::map<uint64_t, WaitingCall> waiting_;
  std::unordered_map<NodeId, Sent> sent_;
  std::unordered_map<NodeId, std::unique_ptr<ConnectionProbe>> probes_;
  std::unordered_map<std::string, Refusals> refusals_;
  TimePoint next_sweep_{};
  TimerId tick_timer_ = 0;
  Counter* const requests_;
  Counter* const no_responses_;
  Counter* const waits_;
  Gauge* const entry_accounts_;
  Gauge* const home_accounts_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_CALLS_ALLOWANCE_EXCHANGE_H_
