#ifndef DRAGONFLYTACK_ONETIME_CLAIM_BUDGET_H_
#define DRAGONFLYTACK_ONETIME_CLAIM_BUDGET_H_

#include <algorithm>
#include <cstddef>

#include "dragonflytack/base/clock.h"

namespace dragonflytack {

// This node's share of the claim writes that the fleet may send to the store,
// deletions of old claims included. Shares are equal and need no coordination.
class ClaimBudget final {
 public:
  // The store handles several hundred writes/s in total, and table edits and
  // status writes share that capacity with claims.
  static constexpr double kFleetWritesPerSecond = 200;
  // Admits the claim and the takeover of one call on a node whose share is
  // below one write/s.
  static constexpr double kBurst = 2;

  explicit ClaimBudget(TimePoint now) : last_refill_(now) {}

  // Sets the share from the number of nodes in the snapshot.
  void SetNodes(size_t nodes) {
    rate_ =
        kFleetWritesPerSecond / static_cast<double>(std::max<size_t>(1, nodes));
  }

  // Takes one write from the share. Returns false if the share is used up.
  bool TryTake(TimePoint now) {
    const double seconds =
        std::chrono::duration<double>(now - last_refill_).count();
    last_refill_ = now;
    tokens_ = std::min(std::max(kBurst, rate_), tokens_ + seconds * rate_);
    if (tokens_ < 1) {
      return false;
    }
    tokens_ -= 1;
    return true;
  }

 private:
  double rate_ = 1;
  double tokens_ = kBurst;
  TimePoint last_refill_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_ONETIME_CLAIM_BUDGET_H_
