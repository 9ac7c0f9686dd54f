#ifndef DRAGONFLYTACK_ACCOUNTS_CALL_RANK_H_
#define DRAGONFLYTACK_ACCOUNTS_CALL_RANK_H_

#include <algorithm>

#include "dragonflytack/table/account_row.h"

namespace dragonflytack {

// Ranks of routes that are distinguished within one account rank. The rank of
// the account takes precedence, so higher ranks of routes count as the last.
inline constexpr int kRouteRanks = 4;

// The rank of the least urgent call.
inline constexpr int kMaxCallRank =
    AccountRow::kMaxRank * kRouteRanks + kRouteRanks - 1;

// Returns the rank of a call of an account; 0 is the most urgent.
constexpr int CallRank(int account_rank, int route_rank) {
  return account_rank * kRouteRanks + std::min(route_rank, kRouteRanks - 1);
}

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_ACCOUNTS_CALL_RANK_H_
