#ifndef DRAGONFLYTACK_SRC_ACCOUNTS_ALLOWANCE_LEDGER_H_
#define DRAGONFLYTACK_SRC_ACCOUNTS_ALLOWANCE_LEDGER_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "accounts/allowance_homes.h"
#include "accounts/allowance_limit.h"
#include "accounts/allowance_message.h"
#include "accounts/usage_window.h"
#include "dragonflytack/base/clock.h"
#include "dragonflytack/registry/node_id.h"

namespace dragonflytack {

// Home node of accounts: counts the calls of each account in the whole fleet
// over a sliding window, and gives entry nodes permits for calls. A permit
// counts as a call until the node reports that it was not used, so that the
// count never falls below the calls that were made.
//
// A home node that cannot be reached and one that has failed look alike. So the
// share of an account that its lost entry nodes had is reserved for them, and
// another home node grants no more than the shares that its entry nodes had,
// and a fixed part of what the bounds add.
class AllowanceLedger final {
 public:
  AllowanceLedger(NodeId self, const AllowanceBounds& bounds);
  ~AllowanceLedger();

  // The set of home nodes has changed; `former` is the one until now. Accounts
  // that had another home node in it may have had calls that no report
  // contains. Called at the start too, with an empty set.
  void OnHomesChanged(const AllowanceHomes& former, TimePoint now) {
    former_homes_.emplace_back(former, now + bounds_.window);
  }

  // Entry nodes that have stopped to report although they have calls.
  std::vector<NodeId> LostNodes() const;
  // The process of a node has ended, so that its shares need not be reserved.
  void OnNodeEnded(const NodeId& node) { dead_nodes_.insert(node); }

  // Processes the reports of an entry node. A request that is older than the
  // last one of the same process gets no permits.
  AllowanceResponse OnRequest(const AllowanceRequest& request, TimePoint now);

  // Drops accounts without calls. Called once per second.
  void Sweep(TimePoint now);

  size_t account_count() const { return accounts_.size(); }

 private:
  struct Holder;
  struct Account;

  // Whether another home node may have permitted calls of the account.
  bool IsUnsettled(const std::string& account, TimePoint now) const;
  AllowanceGrant Grant(const AllowanceRequest& request,
                       const AllowanceReport& report,
                       TimePoint now);
  Account& FindOrCreate(const AllowanceReport& report, TimePoint now);
  void UpdateHolder(const AllowanceRequest& request,
                    const AllowanceReport& report,
                    Account* account,
                    TimePoint now);
  // Takes over what another home node counted, if it is newer than what is
  // known.
  void Inherit(const AllowanceReport& report, Account* account, TimePoint now);
  // Detects lost entry nodes and ends permits whose lease has ended.
  void UpdateLosses(Account* account, TimePoint now);
  // Returns the part of the account that this home node may grant.
  double Part(Account* account, TimePoint now) const;
  // Returns the calls that may still be permitted.
  double Room(Account* account, TimePoint now) const;
  // The same with a limit that counts the calls since `begin` only.
  double RoomSince(TimePoint begin,
                   const AllowanceLimit& limit,
                   Account* account,
                   TimePoint now) const;

  const NodeId self_;
  const AllowanceBounds bounds_;
  // Former sets of home nodes, and when their calls have left the window.
  std::vector<std::pair<AllowanceHomes, TimePoint>> former_homes_;
  std::unordered_set<NodeId> dead_nodes_;
  // The last (incarnation, sequence) of each holder of permits.
  struct Sender {
    uint64_t incarnation = 0;
    uint64_t sequence = 0;
    TimePoint last{};
  };
  std::unordered_map<std::string, Sender> senders_;
  std::unordered_map<std::string, std::unique_ptr<Account>> accounts_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_ACCOUNTS_ALLOWANCE_LEDGER_H_
