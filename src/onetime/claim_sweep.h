#ifndef DRAGONFLYTACK_ONETIME_CLAIM_SWEEP_H_
#define DRAGONFLYTACK_ONETIME_CLAIM_SWEEP_H_

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "dragonflytack/registry/node_id.h"
#include "dragonflytack/store/store_object.h"

namespace dragonflytack {

struct RouteSnapshot;

// Finds claims that expired more than the clock skew margin ago, one page of
// the list at a time.
class ClaimSweep final {
 public:
  static constexpr int kPageSize = 100;
  // Bounds how far the sweeper's wall clock may be ahead of the claimant's.
  static constexpr int64_t kClockSkewMarginMs = 3'600'000;

  // Returns whether `self` is the node that sweeps. Two sweepers during a
  // change of membership are harmless because deletions are conditional.
  static bool IsSweeper(const NodeId& self, const RouteSnapshot& routes);

  explicit ClaimSweep(std::string shared_key)
      : shared_key_(std::move(shared_key)) {}

  // The key after which the next page starts.
  const std::string& start_after() const { return start_after_; }

  // Returns the objects of a page to delete, each only if its version is
  // unchanged. Keeps unreadable claims. After a page that is not full, the next
  // page is the first one of the list.
  std::vector<StoreObject> OnPage(const std::vector<StoreObject>& page,
                                  int64_t wall_ms);

 private:
  const std::string shared_key_;
  std::string start_after_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_ONETIME_CLAIM_SWEEP_H_
