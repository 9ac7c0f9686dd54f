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

// Finds claims that are long past their expiry, one page of the list at a time.
class ClaimSweep final {
 public:
  static constexpr int kPageSize = 100;
  // Bounds how far the sweeper's wall clock may be ahead of the claimant's.
  static constexpr int64_t kMarginMillis = 3'600'000;

  // Whether `self` is the node that sweeps. A double choice during a change of
  // membership is harmless, as deletions are conditional.
  static bool IsSweeper(const NodeId& self, const RouteSnapshot& routes);

  explicit ClaimSweep(std::string secret) : secret_(std::move(secret)) {}

  // Where the next page begins.
  const std::string& start_after() const { return start_after_; }

  // Returns the objects of a page to delete, each on the condition of its
  // version. Unreadable claims stay. A page that is not full starts the list
  // over.
  std::vector<StoreObject> OnPage(const std::vector<StoreObject>& page,
                                  int64_t wall_ms);

 private:
  const std::string secret_;
  std::string start_after_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_ONETIME_CLAIM_SWEEP_H_
