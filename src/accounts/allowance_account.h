#ifndef DRAGONFLYTACK_SRC_ACCOUNTS_ALLOWANCE_ACCOUNT_H_
#define DRAGONFLYTACK_SRC_ACCOUNTS_ALLOWANCE_ACCOUNT_H_

#include <cstdint>

#include "accounts/allowance_limit.h"
#include "accounts/allowance_message.h"
#include "dragonflytack/base/clock.h"
#include "dragonflytack/registry/node_id.h"

namespace dragonflytack {

// What a holder of permits, an entry node or an agent, knows of an account.
struct AllowanceAccount final {
  AllowanceLimit limit;
  uint32_t permits = 0;
  // Permits that an agent passed on; `permits` does not contain them.
  uint32_t lent = 0;
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

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_ACCOUNTS_ALLOWANCE_ACCOUNT_H_
