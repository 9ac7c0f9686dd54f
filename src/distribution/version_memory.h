#ifndef DRAGONFLYTACK_SRC_DISTRIBUTION_VERSION_MEMORY_H_
#define DRAGONFLYTACK_SRC_DISTRIBUTION_VERSION_MEMORY_H_

#include <cstdint>
#include <map>

#include "dragonflytack/registry/node_id.h"
#include "dragonflytack/table/table_version.h"

namespace dragonflytack {

// The highest version that each linked peer was known to have in force, kept
// beyond the peer's restart so that it can be told its version floor.
class VersionMemory final {
 public:
  static constexpr int64_t kRetentionMs = 24LL * 3600 * 1000;

  void Remember(const NodeId& peer, TableVersion version, int64_t now_ms) {
    Entry& entry = entries_[peer];
    entry.version = version > entry.version ? version : entry.version;
    entry.heard_ms = now_ms;
  }

  // Returns 0 when nothing is remembered.
  TableVersion Find(const NodeId& peer) const {
    const auto found = entries_.find(peer);
    return found == entries_.end() ? 0 : found->second.version;
  }

  void Expire(int64_t now_ms) {
    std::erase_if(entries_, [now_ms](const auto& item) {
      return now_ms - item.second.heard_ms >= kRetentionMs;
    });
  }

 private:
  struct Entry {
    TableVersion version = 0;
    int64_t heard_ms = 0;
  };
  std::map<NodeId, Entry> entries_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_DISTRIBUTION_VERSION_MEMORY_H_
