#ifndef DRAGONFLYTACK_REGISTRY_NODE_RECORD_H_
#define DRAGONFLYTACK_REGISTRY_NODE_RECORD_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "dragonflytack/registry/liveness.h"
#include "dragonflytack/registry/node_id.h"
#include "dragonflytack/registry/rollout_share.h"
#include "dragonflytack/registry/target_run.h"
#include "dragonflytack/registry/target_state.h"

namespace dragonflytack {

// State of a node and its local target, as the node publishes it to the fleet.
// Only the node itself changes the fields. Each change raises `sequence`, and
// each restart raises `incarnation`.
struct NodeRecord final {
  // Bounds that all record decoders enforce alike. A record that one decoder
  // accepts and another one rejects would be forwarded and make the receiving
  // peers close their links.
  static constexpr size_t kMaxTextBytes = 63;
  static constexpr uint64_t kMaxNumber = uint64_t{1} << 52;
  static constexpr int kMaxSlots = 1'000'000;

  NodeId id;
  // Start time of the process in milliseconds since the Unix epoch, or higher.
  uint64_t incarnation = 0;
  uint64_t sequence = 0;
  std::string region;
  std::string data_centre;
  // IP address of the host, on which the ports below listen.
  std::string address;
  uint16_t peer_port = 0;
  uint16_t mesh_port = 0;
  uint16_t admin_port = 0;
  // Service that the target offers; empty for a node that has no target.
  std::string service;
  TargetState state = TargetState::kStarting;
  // Time at which the target last entered kWarming, in milliseconds since the
  // Unix epoch.
  int64_t warming_since_ms = 0;
  // Calls that the target can run concurrently; 0 if the table sets the limit.
  int slots = 0;
  // Node that serves the one-time records of this incarnation after its planned
  // stop; empty otherwise.
  NodeId successor;
  // Version of the target's software; empty if the target does not report it.
  std::string release;
  // The shares that a roll-out controller publishes.
  std::vector<RolloutShare> rollout_shares;
  // The last run of the local target that announced that it leaves, also while
  // a later run serves; empty if there was none. Peers keep it for the node,
  // which forgets it when its process ends.
  TargetRun departure;

  // Compares the revisions, (incarnation, sequence), of two records of a node.
  std::strong_ordering CompareRevision(const NodeRecord& other) const {
    return std::tie(incarnation, sequence) <=>
           std::tie(other.incarnation, other.sequence);
  }

  friend bool operator==(const NodeRecord&, const NodeRecord&) = default;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_REGISTRY_NODE_RECORD_H_
