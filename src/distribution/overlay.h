#ifndef DRAGONFLYTACK_SRC_DISTRIBUTION_OVERLAY_H_
#define DRAGONFLYTACK_SRC_DISTRIBUTION_OVERLAY_H_

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "dragonflytack/registry/node_id.h"

namespace dragonflytack {

class Registry;

// The peers to which one node keeps links, and its ranks. Both depend only on
// the live nodes in the registry.
struct Overlay final {
  // Number of highest-ranked nodes that are computed for each data centre and
  // region.
  static constexpr size_t kRankedNodes = 8;
  // Nodes with ranks below this number are gateways and designated watchers.
  static constexpr size_t kGateways = 2;
  // Number of ranks after the gateways whose nodes keep links to the gateways
  // and watch the store in their place while they are unresponsive. With 2 % of
  // the hosts frozen at once, all six nodes are frozen in fewer than 1 of 10^10
  // cases.
  static constexpr size_t kStandbyWatchers = 4;

  // Ring successors, and the nodes that have this node as a successor.
  std::set<NodeId> successors;
  std::set<NodeId> predecessors;
  // Gateways of the other data centres in the region; empty unless this node is
  // a gateway of its data centre.
  std::set<NodeId> region_gateways;
  // Nodes of this node's data centre with a higher rank than its own; empty
  // unless this node is a standby watcher.
  std::set<NodeId> higher_ranked;
  size_t data_centre_rank = 0;
  size_t region_rank = 0;
  // The kRankedNodes highest-ranked nodes of each data centre and region, by
  // its name. The first one has rank 0, the highest.
  std::map<std::string, std::vector<NodeId>> data_centre_ranks;
  std::map<std::string, std::vector<NodeId>> region_ranks;

  static Overlay Compute(const Registry& registry, const NodeId& self);

  // Returns the offsets of the successors in a ring of n nodes.
  static std::set<size_t> SuccessorOffsets(size_t n);
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_DISTRIBUTION_OVERLAY_H_
