#ifndef DRAGONFLYTACK_TABLE_ACCOUNT_ROW_H_
#define DRAGONFLYTACK_TABLE_ACCOUNT_ROW_H_

#include <string>
#include <vector>

#include "dragonflytack/table/key_digest.h"

namespace dragonflytack {

// One row of the sheet of accounts: a client account with its API keys and its
// allowance.
struct AccountRow final {
  // The rank with the lowest urgency.
  static constexpr int kMaxRank = 1'000;
  static constexpr int kMaxRate = 1'000'000'000;

  std::string account;
  // Any of the keys identifies the account. Without one, it can make no calls.
  std::vector<KeyDigest> keys;
  // Urgency, which takes precedence over the rank of the route; 0 is the most
  // urgent.
  int rank = 0;
  // Calls per second in the whole fleet; 0 means no limit.
  int rate_limit = 0;
  // Calls that may exceed the rate at once.
  int burst = 0;

  friend bool operator==(const AccountRow&, const AccountRow&) = default;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_TABLE_ACCOUNT_ROW_H_
