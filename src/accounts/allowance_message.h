#ifndef DRAGONFLYTACK_SRC_ACCOUNTS_ALLOWANCE_MESSAGE_H_
#define DRAGONFLYTACK_SRC_ACCOUNTS_ALLOWANCE_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "accounts/allowance_limit.h"
#include "dragonflytack/base/clock.h"
#include "dragonflytack/base/failure.h"
#include "dragonflytack/registry/node_id.h"

namespace dragonflytack {

// Calls of one account in the whole fleet by slots of UsageWindow, the newest
// first, as the home node counted them.
using UsageCounts = std::vector<uint32_t>;

// What an entry node reports of one account.
struct AllowanceReport final {
  std::string account;
  AllowanceLimit limit;
  // Calls admitted since the last report that got a response.
  uint32_t used = 0;
  // Permits that the node still holds.
  uint32_t held = 0;
  // Calls that wait for a permit.
  uint32_t waiting = 0;
  // Calls that the node expects until its next report.
  uint32_t expected = 0;
  // The node has no more calls of the account and returns its permits.
  bool is_final = false;
  // Number of home nodes that take precedence and did not respond.
  uint32_t skipped = 0;
  // The share of the account that the sender got from the first home node last.
  // That one needs it too, as its last responses may have been lost.
  double share = 0;
  // Time since the last response of the first home node.
  Milliseconds share_age{0};
  // What the last home node stated, if that is not the receiver.
  NodeId usage_home;
  UsageCounts usage;
  UsageCounts earlier_usage;
  Milliseconds usage_age{0};

  friend bool operator==(const AllowanceReport&,
                         const AllowanceReport&) = default;
};

// An agent holds permits apart from the entry node of the same process. So it
// is another holder at the home nodes: its node id with this suffix.
inline constexpr char kAllowanceAgentSuffix = '*';
inline std::string AllowanceAgentHolder(const NodeId& node) {
  return node + kAllowanceAgentSuffix;
}
// Returns the node of a holder.
inline NodeId AllowanceHolderNode(const std::string& holder) {
  return holder.ends_with(kAllowanceAgentSuffix)
             ? holder.substr(0, holder.size() - 1)
             : holder;
}

struct AllowanceRequest final {
  // Holder of the permits: an entry node, or AllowanceAgentHolder().
  std::string from;
  uint64_t incarnation = 0;
  // Rises with each request of the process.
  uint64_t sequence = 0;
  std::vector<AllowanceReport> reports;
  // The request is to the receiver as an agent, not as a home node.
  bool is_to_agent = false;

  std::string Encode(std::string_view shared_key) const;
  static std::optional<AllowanceRequest> Decode(std::string_view bytes,
                                                std::string_view shared_key,
                                                Failure* reason);

  friend bool operator==(const AllowanceRequest&,
                         const AllowanceRequest&) = default;
};

// What an agent adds to a grant.
struct AllowanceRelay final {
  // Permits from former responses that the entry node still holds; any others
  // that it has are void.
  uint32_t held = 0;
  // Time from the request until all permits are void.
  Milliseconds lease{0};
  // The home node that made the statement `usage` and its age; empty if the
  // entry node knows the statement.
  NodeId home;
  Milliseconds usage_age{0};

  friend bool operator==(const AllowanceRelay&,
                         const AllowanceRelay&) = default;
};

// The response to one report.
struct AllowanceGrant final {
  std::string account;
  // Permits in addition to those that the node held.
  uint32_t permits = 0;
  double share = 0;
  // Time until the account has room again; 0 if all waiting calls got permits.
  Milliseconds retry_after{0};
  // Calls that this home node permitted, and those that it knows of otherwise.
  UsageCounts usage;
  UsageCounts earlier_usage;
  // In the response of an agent only. If permits are missing and `retry_after`
  // is 0, the agent still waits for the home node.
  std::optional<AllowanceRelay> relay;

  friend bool operator==(const AllowanceGrant&,
                         const AllowanceGrant&) = default;
};

struct AllowanceResponse final {
  std::vector<AllowanceGrant> grants;

  std::string Encode(std::string_view shared_key) const;
  static std::optional<AllowanceResponse> Decode(std::string_view bytes,
                                                 std::string_view shared_key,
                                                 Failure* reason);

  friend bool operator==(const AllowanceResponse&,
                         const AllowanceResponse&) = default;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_ACCOUNTS_ALLOWANCE_MESSAGE_H_
