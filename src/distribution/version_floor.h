#ifndef DRAGONFLYTACK_SRC_DISTRIBUTION_VERSION_FLOOR_H_
#define DRAGONFLYTACK_SRC_DISTRIBUTION_VERSION_FLOOR_H_

#include <algorithm>
#include <cstddef>
#include <map>
#include <optional>

#include "dragonflytack/registry/node_id.h"
#include "dragonflytack/table/table_version.h"

namespace dragonflytack {

// The lowest version that a started node may put in force. Versions come from
// the store alone, so every version that the store or a peer names exists, and
// the highest one named counts.
class VersionFloor final {
 public:
  // Peers that must have named a version while the store does not answer.
  static constexpr size_t kPeers = 3;

  void NameByStore(TableVersion version) {
    store_ = std::max(store_.value_or(0), version);
  }
  void NameByPeer(const NodeId& peer, TableVersion version) {
    TableVersion& named = peers_[peer];
    named = std::max(named, version);
  }
  // A refused version is in force nowhere, so that the peers' word counts then.
  void Refuse(TableVersion version) { refused_ = std::max(refused_, version); }

  bool store_answered() const { return store_.has_value(); }

  // `known_peers` is the number of other nodes that have not left;
  // `settled` says that all neighbours named their versions or cannot be
  // reached.
  bool IsKnown(size_t known_peers, bool settled) const {
    if (store_.has_value() && (*store_ == 0 || *store_ > refused_)) {
      return true;
    }
    return settled && !peers_.empty() &&
           peers_.size() >= std::min(kPeers, known_peers);
  }

  TableVersion value() const {
    TableVersion highest = store_.value_or(0);
    highest = highest > refused_ ? highest : 0;
    for (const auto& [peer, version] : peers_) {
      highest = std::max(highest, version);
    }
    return highest;
  }

 private:
  std::optional<TableVersion> store_;
  TableVersion refused_ = 0;
  std::map<NodeId, TableVersion> peers_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_DISTRIBUTION_VERSION_FLOOR_H_
