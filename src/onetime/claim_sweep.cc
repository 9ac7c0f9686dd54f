#include "onetime/claim_sweep.h"

#include "dragonflytack/base/hash.h"
#include "dragonflytack/routing/route_snapshot.h"
#include "onetime/claim.h"

namespace dragonflytack {

bool ClaimSweep::IsSweeper(const NodeId& self, const RouteSnapshot& routes) {
  static const uint64_t kSeed = Hash64("claim sweep");
  if (routes.nodes == nullptr) {
    return false;
  }
  const uint64_t own = Hash64(self, kSeed);
  for (const auto& [id, node] : *routes.nodes) {
    if (node.liveness != Liveness::kDead && Hash64(id, kSeed) > own) {
      return false;
    }
  }
  return true;
}

std::vector<StoreObject> ClaimSweep::OnPage(
    const std::vector<StoreObject>& page,
    int64_t wall_ms) {
  std::vector<StoreObject> expired;
  for (const StoreObject& object : page) {
    const auto key = Claim::ReadValue(object.value, shared_key_);
    if (key && key->expiry_ms + kClockSkewMarginMs < wall_ms) {
      expired.push_back(object);
    }
  }
  start_after_ =
      page.size() < static_cast<size_t>(kPageSize) ? "" : page.back().key;
  return expired;
}

}  // namespace dragonflytack
