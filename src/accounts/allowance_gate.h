#ifndef DRAGONFLYTACK_SRC_ACCOUNTS_ALLOWANCE_GATE_H_
#define DRAGONFLYTACK_SRC_ACCOUNTS_ALLOWANCE_GATE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "accounts/allowance_homes.h"
#include "accounts/allowance_limit.h"
#include "accounts/allowance_message.h"
#include "dragonflytack/base/clock.h"

namespace dragonflytack {

// Entry node: decides whether a call of an account may start, with the permits
// that the home nodes give, and determines the reports to them. It does no I/O.
class AllowanceGate final {
 public:
  enum class Decision {
    kAdmitted,
    kRefused,
    // The call waits until Resolve() or Abandon().
    kWaits,
  };
  struct Answer {
    Decision decision = Decision::kAdmitted;
    // For kRefused: when the account has room again.
    Milliseconds retry_after{0};
  };

  // Decides on a call. kWaits counts it as waiting.
  Answer Ask(const std::string& account,
             const AllowanceLimit& limit,
             TimePoint now);
  // Decides on a call that waited, after a response or when it has waited for
  // kAllowanceMaxWait.
  Answer Resolve(const std::string& account, TimePoint now);
  // The caller of a waiting call has disconnected.
  void Abandon(const std::string& account);

  // Returns the reports that are due for one home node, or that accompany a due
  // one; empty if none is due. `homes` must not change until the response.
  std::vector<AllowanceReport> TakeReports(const AllowanceHomes& homes,
                                           const NodeId& home,
                                           TimePoint now);
  // Returns the home nodes to which a report is due.
  std::vector<NodeId> DueHomes(const AllowanceHomes& homes, TimePoint now);
  // Processes the response to the reports that were taken for `home` at `sent`.
  void OnResponse(const NodeId& home,
                  const AllowanceResponse& response,
                  TimePoint sent,
                  TimePoint now);

  // The reports of these accounts got no response; another home node needs
  // them.
  void OnNoResponse(const std::vector<std::string>& accounts);

  // Drops accounts without calls. Called once per second.
  void Sweep(TimePoint now);

  size_t account_count() const { return accounts_.size(); }

 private:
  struct Account {
    AllowanceLimit limit;
    uint32_t permits = 0;
    TimePoint lease_end{};
    // Calls admitted since the last report that got a response, and in that
    // which was sent last.
    uint32_t used = 0;
    uint32_t reported = 0;
    uint32_t waiting = 0;
    // Calls that asked since `period_start`, and their smoothed number in a
    // report period.
    uint32_t asked = 0;
    TimePoint period_start{};
    double expected = 0;
    TimePoint last_call{};
    TimePoint last_report{};
    bool has_reported = false;
    // Whether the last report was the last one for now.
    bool is_final = false;
    // Until then the account has no room.
    TimePoint blocked_until{};
    TimePoint room_at{};
    // The home node that responded last, and what it said.
    NodeId home;
    UsageCounts usage;
    UsageCounts earlier_usage;
    TimePoint usage_time{};
    // What the first home node said last.
    double share = 0;
    TimePoint share_time{};
    // Number of the home node to which the last report was sent.
    uint32_t skipped = 0;
  };

  // Uses a permit. Returns false if there is none.
  static bool Use(Account* account, TimePoint now);
  static bool IsDue(const std::string& name,
                    const Account& account,
                    const AllowanceHomes& homes,
                    TimePoint now);
  AllowanceReport MakeReport(const std::string& name,
                             const AllowanceHomes::Home& home,
                             Account* account,
                             TimePoint now);

  std::unordered_map<std::string, Account> accounts_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_ACCOUNTS_ALLOWANCE_GATE_H_
