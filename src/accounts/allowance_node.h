#ifndef DRAGONFLYTACK_SRC_ACCOUNTS_ALLOWANCE_NODE_H_
#define DRAGONFLYTACK_SRC_ACCOUNTS_ALLOWANCE_NODE_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "accounts/allowance_agent.h"
#include "accounts/allowance_gate.h"
#include "accounts/allowance_homes.h"
#include "accounts/allowance_ledger.h"
#include "accounts/allowance_limit.h"
#include "accounts/allowance_message.h"
#include "dragonflytack/base/clock.h"

namespace dragonflytack {

// All parts of the allowances of one node, without I/O: entry node, agent and
// home node. After each call of a function that takes the time, the owner sends
// what TakeMessages(), TakeReplies() and TakeDecisions() return.
class AllowanceNode final {
 public:
  struct Message {
    // Identifies the message for OnResponse() and OnNoResponse().
    uint64_t id = 0;
    NodeId to;
    Milliseconds timeout{0};
    AllowanceRequest request;
  };
  // The answer to a call that waited.
  struct Decision {
    uint64_t ticket = 0;
    std::string account;
    AllowanceGate::Answer answer;
  };
  struct Reply {
    // Returned by OnRequest().
    uint64_t id = 0;
    AllowanceResponse response;
  };

  AllowanceNode(NodeId self,
                uint64_t incarnation,
                const AllowanceBounds& bounds);

  // Sets the nodes that are not known to be dead. Without this node among them,
  // there is no agent.
  void SetNodes(const std::vector<AllowanceHomes::Node>& nodes, TimePoint now);
  // Whether this node asks an agent if there is one; true without a call.
  void set_has_agent(bool has_agent) { has_agent_ = has_agent; }
  // The process of a node has ended; a home node or agent is replaced.
  void OnNodeEnded(const NodeId& node, TimePoint now);
  // The registry declared a node dead.
  void OnNodeDead(const NodeId& node) { ledger_.OnNodeEnded(node); }
  std::vector<NodeId> LostNodes() const { return ledger_.LostNodes(); }

  // Decides on a call. If it has to wait, sets `ticket`; the decision follows
  // within kAllowanceMaxWait.
  AllowanceGate::Answer Ask(const std::string& account,
                            const AllowanceLimit& limit,
                            TimePoint now,
                            uint64_t* ticket);
  // Ends the wait of a call without a decision.
  void Cancel(uint64_t ticket);

  // A request of another node arrived. Returns the id of the reply.
  uint64_t OnRequest(AllowanceRequest request, TimePoint now);
  // The sender of a request has disconnected.
  void AbandonRequest(uint64_t id, TimePoint now);
  void OnResponse(uint64_t message,
                  const AllowanceResponse& response,
                  TimePoint now);
  void OnNoResponse(uint64_t message, TimePoint now);

  // Sends what is due. Called every 100 ms, and at NextDeadline().
  void Tick(TimePoint now);
  // Drops what is no longer needed. Called once per second.
  void Sweep(TimePoint now);
  // When a call or a request has waited long enough; none if none waits.
  std::optional<TimePoint> NextDeadline() const;

  std::vector<Message> TakeMessages() { return std::exchange(messages_, {}); }
  std::vector<Reply> TakeReplies() { return std::exchange(replies_, {}); }
  std::vector<Decision> TakeDecisions() {
    return std::exchange(decisions_, {});
  }

  size_t entry_account_count() const {
    return std::max(agent_gate_.account_count(), direct_gate_.account_count());
  }
  size_t home_account_count() const { return ledger_.account_count(); }
  size_t agent_account_count() { return agent_.gate().account_count(); }

 private:
  // Who asks whom.
  enum class Channel { kEntryToAgent, kEntryToHome, kAgentToHome };
  struct WaitingCall {
    std::string account;
    AllowanceLimit limit;
    AllowanceGate* gate = nullptr;
    TimePoint deadline{};
    // Rises with each question to a gate.
    uint64_t order = 0;
    // When it is sent to the home node if the agent has not responded.
    TimePoint direct_at{};
  };
  struct Sent {
    Channel channel = Channel::kEntryToAgent;
    NodeId to;
    std::vector<std::string> accounts;
    TimePoint time{};
    // Calls up to this one are covered by the reports.
    uint64_t last_order = 0;
  };
  // A request to this node as an agent that has no reply yet.
  struct Held {
    AllowanceRequest request;
    TimePoint deadline{};
    // The message of this node's own entry side; 0 if it is a request of
    // another node.
    uint64_t own_message = 0;
  };

  bool HasAgent() const { return has_agent_ && !agents_.Find({}).node.empty(); }
  AllowanceGate& GateOf(Channel channel);
  // Sends and answers until nothing is due.
  void Flush(TimePoint now);
  bool SendDue(Channel channel, TimePoint now);
  void SendProbes(TimePoint now);
  void Send(Channel channel,
            const NodeId& to,
            std::vector<AllowanceReport> reports,
            TimePoint now);
  bool IsInFlight(Channel channel, const NodeId& to) const;
  bool ReplyToHeld(TimePoint now);
  // Decides on waiting calls of an account up to an order. Calls without a
  // permit wait on if `is_pending`.
  void Resolve(const AllowanceGate& gate,
               const std::string& account,
               uint64_t last_order,
               bool is_pending,
               TimePoint now);
  void Decide(uint64_t ticket, TimePoint now);
  // Sends a call that waits for the agent to the home node.
  void AskDirectly(uint64_t ticket, TimePoint now);
  // Calls that were sent to the home node use permits of the agent too.
  void UseAgentPermits(const std::string& account, TimePoint now);
  // Without an agent, the calls that wait for it are sent to the home nodes.
  void LeaveAgent(TimePoint now);

  const NodeId self_;
  const uint64_t incarnation_;
  AllowanceGate agent_gate_{AllowanceGate::Kind::kBehindAgent};
  AllowanceGate direct_gate_{AllowanceGate::Kind::kDirect};
  AllowanceAgent agent_;
  AllowanceLedger ledger_;
  AllowanceHomes homes_;
  // The candidates for the agent of this node, in its own data centre.
  AllowanceHomes agents_;
  bool has_agent_ = true;
  bool is_flushing_ = false;
  uint64_t sequence_ = 0;
  uint64_t next_ticket_ = 1;
  uint64_t next_order_ = 1;
  uint64_t next_request_ = 1;
  std::map<uint64_t, WaitingCall> waiting_;
  std::map<uint64_t, Sent> sent_;
  std::map<uint64_t, Held> held_;
  // When the last message to each home node was sent.
  std::unordered_map<NodeId, TimePoint> last_sent_;
  std::vector<Message> messages_;
  std::vector<Reply> replies_;
  std::vector<Decision> decisions_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_ACCOUNTS_ALLOWANCE_NODE_H_
