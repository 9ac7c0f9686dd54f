#ifndef DRAGONFLYTACK_SRC_ACCOUNTS_ALLOWANCE_LIMIT_H_
#define DRAGONFLYTACK_SRC_ACCOUNTS_ALLOWANCE_LIMIT_H_

#include <cstdint>

#include "dragonflytack/base/clock.h"

namespace dragonflytack {

// What a deployment allows beyond the limits of the accounts: in each sliding
// window, an account may have (rate x window + burst) x (1 + over) + slack
// calls.
struct AllowanceBounds final {
  // 0 if no limit is to be enforced.
  Milliseconds window{0};
  double over = 0;
  double slack = 0;

  bool is_enabled() const { return window > Milliseconds(0); }

  friend bool operator==(const AllowanceBounds&,
                         const AllowanceBounds&) = default;
};

// The limit of one account in one version of the table.
struct AllowanceLimit final {
  uint64_t version = 0;
  // Calls per second.
  int rate = 0;
  int burst = 0;

  // Returns the calls in one window without what the bounds add.
  double Base(const AllowanceBounds& bounds) const {
    constexpr double kMillisPerSecond = 1000;
    return rate *
               (static_cast<double>(bounds.window.count()) / kMillisPerSecond) +
           burst;
  }
  // Returns what the bounds add to Base().
  double Margin(const AllowanceBounds& bounds) const {
    return Base(bounds) * bounds.over + bounds.slack;
  }

  friend bool operator==(const AllowanceLimit&,
                         const AllowanceLimit&) = default;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_ACCOUNTS_ALLOWANCE_LIMIT_H_
