#ifndef DRAGONFLYTACK_SRC_ACCOUNTS_ALLOWANCE_TIMING_H_
#define DRAGONFLYTACK_SRC_ACCOUNTS_ALLOWANCE_TIMING_H_

#include "dragonflytack/base/clock.h"

namespace dragonflytack {

// Times that the home nodes and the entry nodes of allowances agree on.

// Period of the reports of an account with calls. With 250 ms, a home node of
// 74 nodes would process up to 296 messages/s, too many for a tenth of a core.
inline constexpr Milliseconds kAllowanceReportPeriod{500};

// Time until the first report with a new limit has reached the home node. An
// account with many calls is reported by many nodes; one with few calls may
// take longer, for which the slack of the bounds suffices.
inline constexpr Milliseconds kAllowanceLimitTime{250};

// Permits that were not used within this time after the request are void. It
// covers four reports.
inline constexpr Milliseconds kAllowanceLease{2'000};

// An entry node with calls that has not reported for this time is lost: the
// home node reserves its share.
inline constexpr Milliseconds kAllowanceLossTime{900};

// An entry node brings its share to another home node after this time without
// the first one. It exceeds kAllowanceLossTime, so that the share is reserved
// before it is used elsewhere.
inline constexpr Milliseconds kAllowanceShareDelay{1'000};

// Time until all entry nodes have returned to a home node that responds again:
// the period of the probes and one response.
inline constexpr Milliseconds kAllowanceReturnTime{500};

// Shares of lost nodes are kept for this time, in which most partitions end.
inline constexpr Milliseconds kAllowanceShareTime{20'000};
// A first home node that has lost most of the shares for this time grants no
// more. One window later the side that has them takes over the account, which
// with a window of 5 s is before the shares end.
inline constexpr Milliseconds kAllowanceMinorityTime{12'000};
inline constexpr Milliseconds kAllowanceTakeOverMargin{1'000};

// Time in which a home node has to respond. A round trip between regions takes
// 16 ms, with a new connection 32 ms. With 60 ms, hosts with a tenth of a core
// were passed over at the start of the callers, so that several home nodes
// counted the same calls: 4,743 calls below their limits were refused in 12 s.
// The rest of the 300 ms for which a call may wait is left to the next home
// node.
inline constexpr Milliseconds kAllowanceResponseTime{200};
inline constexpr Milliseconds kAllowanceMaxWait{300};

// Time in which an agent has to respond to an entry node. It leaves 120 ms of
// kAllowanceMaxWait to a home node that is asked directly.
inline constexpr Milliseconds kAllowanceAgentResponseTime{180};
// Time for which an agent holds a request back that waits for a home node. An
// agent that stalls for 100 ms still responds within the time above.
inline constexpr Milliseconds kAllowanceAgentHoldTime{70};
// A call that has waited for the agent for this time is sent to the home node
// directly. If both stall for 100 ms of each 200 ms, the way over the agent
// takes more than 300 ms.
inline constexpr Milliseconds kAllowanceDirectTime{120};
// Time in which a home node has to respond to an agent. A home node that is
// passed over leaves the account to one that knows its counts from statements
// only, so agents wait as long as a call may wait. It is below
// kAllowanceLossTime with a report period.
inline constexpr Milliseconds kAllowanceHomeResponseTime{300};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_ACCOUNTS_ALLOWANCE_TIMING_H_
