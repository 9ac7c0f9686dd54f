#ifndef DRAGONFLYTACK_REGISTRY_NODE_RECORD_H_
#define DRAGONFLYTACK_REGISTRY_NODE_RECORD_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <tuple>

#include "dragonflytack/registry/liveness.h"
#include "dragonflytack/registry/node_id.h"
#include "dragonflytack/registry/target_state.h"

namespace dragonflytack {

// What a node tells the fleet about itself and the target beside it. Only the
// node itself changes the fields, and each change raises `sequence`; a restart
// raises `incarnation`.
struct NodeRecord final {
  // Bounds that every decoder of records enforces alike: a record that one of
  // them let in and another refuses would be passed on and close links.
  static constexpr size_t kMaxTextBytes = 63;
  static constexpr uint64_t kMaxNumber = uint64_t{1} << 52;
  static constexpr int kMaxSlots = 1'000'000;

  NodeId id;
  // Start time of the process in milliseconds since the Unix epoch, or higher.
  uint64_t incarnation = 0;
  uint64_t sequence = 0;
  std::string region;
  std::string data_centre;
  // IP number of the host; the ports below listen there.
  std::string address;
  uint16_t peer_port = 0;
  uint16_t mesh_port = 0;
  uint16_t admin_port = 0;
  // Service that the target offers; empty for a node that has no target.
  std::string service;
  TargetState state = TargetState::kStarting;
  // When the target last entered kWarming, in milliseconds since the Unix
  // epoch.
  int64_t warming_since_ms = 0;
  // Calls the target can run at a time, 0 when the table's value applies.
  int slots = 0;
  // Who answers for the one-time records of this incarnation after its planned
  // stop; empty otherwise.
  NodeId successor;

  // Orders two records of the same node by age.
  std::strong_ordering CompareAge(const NodeRecord& other) const {
    return std::tie(incarnation, sequence) <=>
           std::tie(other.incarnation, other.sequence);
  }

  friend bool operator==(const NodeRecord&, const NodeRecord&) = default;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_REGISTRY_NODE_RECORD_H_
