#ifndef DRAGONFLYTACK_SRC_DISTRIBUTION_PEER_VERSION_CACHE_H_
#define DRAGONFLYTACK_SRC_DISTRIBUTION_PEER_VERSION_CACHE_H_

#include <cstdint>
#include <map>

#include "dragonflytack/registry/node_id.h"
#include "dragonflytack/table/table_version.h"

namespace dragonflytack {

// Keeps the highest version that each linked peer is known to have had in
// force. Entries outlive a restart of the peer, so that its version floor can
// be sent to it.
class PeerVersionCache final {
 public:
  static constexpr int64_t kRetentionMs = 24LL * 3600 * 1000;

  void Record(const NodeId& peer, TableVersion version, int64_t now_ms) {
    Entry& entry = entries_[peer];
    entry.version = version > entry.version ? version : entry.version;
    entry.updated_ms = now_ms;
  }

  // Returns 0 if there is no entry for the peer.
  TableVersion Find(const NodeId& peer) const {
    const auto found = entries_.find(peer);
    return found == entries_.end() ? 0 : found->second.version;
  }

  void Expire(int64_t now_ms) {
    std::erase_if(entries_, [now_ms](const auto& item) {
      return now_ms - item.second.updated_ms >= kRetentionMs;
    });
  }

 private:
  struct Entry {
    TableVersion version = 0;
    int64_t updated_ms = 0;
  };
  std::map<NodeId, Entry> entries_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_DISTRIBUTION_PEER_VERSION_CACHE_H_
