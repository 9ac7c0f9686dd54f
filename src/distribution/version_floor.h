#ifndef DRAGONFLYTACK_SRC_DISTRIBUTION_VERSION_FLOOR_H_
#define DRAGONFLYTACK_SRC_DISTRIBUTION_VERSION_FLOOR_H_

#include <algorithm>
#include <cstddef>
#include <map>
#include <optional>

#include "dragonflytack/registry/node_id.h"
#include "dragonflytack/table/table_version.h"

namespace dragonflytack {

// The lowest version that a node may put in force after its start. No node
// creates versions, so every version reported by the store or a peer
// exists, and the floor is the highest one reported.
class VersionFloor final {
 public:
  // Minimum number of peers that must have reported a version while the store
  // is unavailable.
  static constexpr size_t kMinPeers = 3;

  void RecordStoreVersion(TableVersion version) {
    store_version_ = std::max(store_version_.value_or(0), version);
  }
  void RecordPeerVersion(const NodeId& peer, TableVersion version) {
    TableVersion& recorded = peer_versions_[peer];
    recorded = std::max(recorded, version);
  }
  // A refused version is in force on no node, so a store version up to it is
  // ignored and the versions reported by peers decide.
  void RecordRefusedVersion(TableVersion version) {
    refused_version_ = std::max(refused_version_, version);
  }

  bool has_store_version() const { return store_version_.has_value(); }
  TableVersion store_version() const { return store_version_.value_or(0); }

  // Returns whether value() is reliable. `store_suffices` is true if the
  // store's version needs no confirmation by a peer. `known_peers` is the
  // number of other nodes that have not left; `all_neighbours_contacted` is
  // true if every neighbour has reported its version or is unreachable.
  bool IsKnown(bool store_suffices,
               size_t known_peers,
               bool all_neighbours_contacted) const {
    if (store_suffices && store_version_.has_value() &&
        (*store_version_ == 0 || *store_version_ > refused_version_)) {
      return true;
    }
    return all_neighbours_contacted && !peer_versions_.empty() &&
           peer_versions_.size() >= std::min(kMinPeers, known_peers);
  }

  TableVersion value() const {
    TableVersion highest = store_version_.value_or(0);
    highest = highest > refused_version_ ? highest : 0;
    for (const auto& [peer, version] : peer_versions_) {
      highest = std::max(highest, version);
    }
    return highest;
  }

 private:
  std::optional<TableVersion> store_version_;
  TableVersion refused_version_ = 0;
  std::map<NodeId, TableVersion> peer_versions_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_DISTRIBUTION_VERSION_FLOOR_H_
