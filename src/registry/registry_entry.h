#ifndef DRAGONFLYTACK_SRC_REGISTRY_REGISTRY_ENTRY_H_
#define DRAGONFLYTACK_SRC_REGISTRY_REGISTRY_ENTRY_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "dragonflytack/registry/liveness.h"
#include "dragonflytack/registry/node_record.h"

namespace dragonflytack {

// A NodeRecord as the registry stores it. Strings that many records share point
// into the registry's StringPool.
struct RegistryEntry final {
  NodeId id;
  std::string address;
  uint64_t incarnation = 0;
  uint64_t sequence = 0;
  const std::string* region = nullptr;
  const std::string* data_centre = nullptr;
  const std::string* service = nullptr;
  const std::string* successor = nullptr;
  const std::string* release = nullptr;
  // Null if the node publishes none, as all but the roll-out controllers.
  std::shared_ptr<const std::vector<RolloutShare>> rollout_shares;
  int64_t warming_since_ms = 0;
  // Wall time in milliseconds at which the node left or was declared dead; 0
  // while IsLive().
  int64_t ended_ms = 0;
  // Hash over the id, the revision and whether the node is dead, as it enters
  // the digests.
  uint64_t hash = 0;
  // See NodeRecord. Kept if a newer record has none: the process of the node
  // has restarted and does not know it yet.
  TargetRun departure;
  int slots = 0;
  uint16_t peer_port = 0;
  uint16_t mesh_port = 0;
  uint16_t admin_port = 0;
  uint8_t bucket = 0;
  TargetState state = TargetState::kStarting;
  Liveness liveness = Liveness::kAlive;
  // Whether `departure` is that of a process which knew it: one whose target
  // has served or has departed. Kept as `departure` is.
  bool knows_departure = false;

  bool IsLive() const {
    return liveness != Liveness::kDead && state != TargetState::kLeft;
  }
  bool HasRevision(uint64_t other_incarnation, uint64_t other_sequence) const {
    return incarnation == other_incarnation && sequence == other_sequence;
  }
  NodeRecord ToRecord() const;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_REGISTRY_REGISTRY_ENTRY_H_
