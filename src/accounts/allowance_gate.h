#ifndef DRAGONFLYTACK_SRC_ACCOUNTS_ALLOWANCE_GATE_H_
#define DRAGONFLYTACK_SRC_ACCOUNTS_ALLOWANCE_GATE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "accounts/allowance_account.h"
#include "accounts/allowance_homes.h"
#include "accounts/allowance_limit.h"
#include "accounts/allowance_message.h"
#include "dragonflytack/base/clock.h"

namespace dragonflytack {

// Entry node: decides whether a call of an account may start, with the permits
// that the home nodes give, and determines the reports to them. It does no I/O.
class AllowanceGate final {
 public:
  enum class Kind {
    // Gets its permits from the home nodes.
    kDirect,
    // Gets them from an agent.
    kBehindAgent,
    // Is an agent: gets them from the home nodes for entry nodes.
    kAgent,
  };
  explicit AllowanceGate(Kind kind) : kind_(kind) {}

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
  bool HasPermit(const std::string& account, TimePoint now) const;
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

  // Returns an account, which is due for a report if it is new.
  AllowanceAccount& FindOrCreate(const std::string& name,
                                 const AllowanceLimit& limit,
                                 TimePoint now);
  AllowanceAccount* Find(const std::string& name);
  // Takes over a newer statement of a home node that another gate of the
  // process received, so that it reaches later home nodes.
  void CopyStatement(const AllowanceGate& other, const std::string& name);

  // Direct only: whether an agent has most calls, so that permits that were not
  // used are returned with the next report, which is the last one.
  void set_is_fallback(bool is_fallback) { is_fallback_ = is_fallback; }

  // Drops accounts without calls. Called once per second.
  void Sweep(TimePoint now);

  size_t account_count() const { return accounts_.size(); }

 private:
  // Uses a permit. Returns false if there is none.
  static bool Use(AllowanceAccount* account, TimePoint now);
  bool IsDue(const std::string& name,
             const AllowanceAccount& account,
             const AllowanceHomes& homes,
             TimePoint now) const;
  AllowanceReport MakeReport(const std::string& name,
                             const AllowanceHomes::Home& home,
                             AllowanceAccount* account,
                             TimePoint now);

  void ReadRelay(const AllowanceGrant& grant,
                 TimePoint sent,
                 AllowanceAccount* account);

  const Kind kind_;
  bool is_fallback_ = false;
  std::unordered_map<std::string, AllowanceAccount> accounts_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_ACCOUNTS_ALLOWANCE_GATE_H_
