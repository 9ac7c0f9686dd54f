#ifndef DRAGONFLYTACK_SRC_REGISTRY_ROLLOUT_SHARES_H_
#define DRAGONFLYTACK_SRC_REGISTRY_ROLLOUT_SHARES_H_

#include <map>
#include <string>
#include <vector>

#include "dragonflytack/registry/rollout_share.h"

namespace dragonflytack {

// The newest share of each service that any record carried. A share stays when
// the record that carried it is replaced or removed.
class RolloutShares final {
 public:
  // Returns whether the share replaced an older one.
  bool Merge(const RolloutShare& share) {
    const auto [position, is_new] = shares_.try_emplace(share.service, share);
    if (!is_new && !share.Supersedes(position->second)) {
      return false;
    }
    position->second = share;
    return true;
  }

  // Returns null if the service has none.
  const RolloutShare* Find(const std::string& service) const {
    const auto found = shares_.find(service);
    return found == shares_.end() ? nullptr : &found->second;
  }

  std::vector<RolloutShare> All() const {
    std::vector<RolloutShare> all;
    for (const auto& [service, share] : shares_) {
      if (all.size() < RolloutShare::kMaxShares) {
        all.push_back(share);
      }
    }
    return all;
  }

 private:
  std::map<std::string, RolloutShare> shares_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_REGISTRY_ROLLOUT_SHARES_H_
