#ifndef DRAGONFLYTACK_SRC_ACCOUNTS_ALLOWANCE_AGENT_H_
#define DRAGONFLYTACK_SRC_ACCOUNTS_ALLOWANCE_AGENT_H_

#include <cstdint>
#include <string>
#include <unordered_map>

#include "accounts/allowance_gate.h"
#include "accounts/allowance_message.h"
#include "dragonflytack/base/clock.h"

namespace dragonflytack {

// Agent of a data centre: holds permits from the home nodes and passes them on
// to entry nodes, so that few messages leave the data centre. A permit that was
// passed on counts as held until the entry node reports it or its lease ends;
// then it counts as used. No permit that was passed on outlives the lease of
// the agent, so the bound of the calls does not depend on agents. It does no
// I/O.
class AllowanceAgent final {
 public:
  // Reports to the home nodes and receives permits from them.
  AllowanceGate& gate() { return gate_; }

  // Processes the reports of an entry node. Returns false if the request is
  // older than the last one of the same process; it gets an empty response.
  bool OnRequest(const AllowanceRequest& request, TimePoint now);
  // Whether a call of the request can be answered, or none waits.
  bool CanRespond(const AllowanceRequest& request, TimePoint now);
  // Gives the permits that are available.
  AllowanceResponse Respond(const AllowanceRequest& request, TimePoint now);
  // The entry node no longer waits for the response.
  void Abandon(const AllowanceRequest& request, TimePoint now);

  // Determines anew which calls wait for the home node, after its response.
  void OnResponse(const AllowanceResponse& response, TimePoint now);
  // Ends permits whose lease has ended. Called before reports are taken.
  void EndLeases(TimePoint now);
  // Drops what is no longer needed. Called once per second.
  void Sweep(TimePoint now);

 private:
  // What an entry node has of an account.
  struct Holder {
    uint64_t incarnation = 0;
    uint32_t lent = 0;
    uint32_t waiting = 0;
    TimePoint lease_end{};
    // Time of the statement of a home node that it was sent last.
    TimePoint usage_time{};
  };
  using Holders = std::unordered_map<NodeId, Holder>;
  struct Sender {
    uint64_t incarnation = 0;
    uint64_t sequence = 0;
    TimePoint last{};
  };

  void ReadReport(const AllowanceRequest& request,
                  const AllowanceReport& report,
                  TimePoint now);
  AllowanceGrant Grant(const AllowanceRequest& request,
                       const AllowanceReport& report,
                       TimePoint now);
  static void EndLease(Holder* holder,
                       AllowanceAccount* account,
                       TimePoint now);
  // Determines how many calls wait for permits of the home node.
  static void UpdateShortage(const Holders& holders,
                             AllowanceAccount* account,
                             TimePoint now);

  AllowanceGate gate_{AllowanceGate::Kind::kAgent};
  std::unordered_map<std::string, Holders> holders_;
  std::unordered_map<NodeId, Sender> senders_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_ACCOUNTS_ALLOWANCE_AGENT_H_
