#ifndef DRAGONFLYTACK_REGISTRY_ROLLOUT_SHARE_H_
#define DRAGONFLYTACK_REGISTRY_ROLLOUT_SHARE_H_

#include <cstddef>
#include <cstdint>
#include <string>

namespace dragonflytack {

// The share of the calls of a service that go to the targets of one release.
// The other calls go to the targets of all other releases.
struct RolloutShare final {
  static constexpr int kFull = 1000;
  // Bound of the shares in one record, enforced by all decoders.
  static constexpr size_t kMaxShares = 1024;

  std::string service;
  // Empty if the roll-out is over and all targets are equal.
  std::string release;
  // In thousandths.
  int share = 0;
  // Version of the write that put the share in force.
  uint64_t epoch = 0;

  // Whether this share replaces `other` of the same service. A rollback that
  // could not be written has the epoch of the step that it ends, so the lower
  // one of two shares with the same epoch takes precedence.
  bool Supersedes(const RolloutShare& other) const {
    return epoch > other.epoch || (epoch == other.epoch && share < other.share);
  }

  friend bool operator==(const RolloutShare&, const RolloutShare&) = default;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_REGISTRY_ROLLOUT_SHARE_H_
