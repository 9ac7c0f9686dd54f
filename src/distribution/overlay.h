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

// The peers that one node keeps links to, and its ranks, as a function of the
// live nodes of the registry alone.
struct Overlay final {
  // Nodes that a data centre or region is known to rank first.
  static constexpr size_t kRanked = 8;
  // Ranks below this number are gateways and speakers.
  static constexpr size_t kGateways = 2;
  // The ranks after the gateways that link to them and watch the store in their
  // place while they are silent. With 2 % of the hosts frozen at once, all six
  // are frozen in fewer than 1 of 10^10 cases.
  static constexpr size_t kStandbyWatchers = 4;

  // Ring successors, and those whose successor this node is.
  std::set<NodeId> successors;
  std::set<NodeId> predecessors;
  // Gateways of other data centres in the region, when this node is one.
  std::set<NodeId> region_gateways;
  // Nodes of the own data centre that rank before this one, when this node is a
  // substitute.
  std::set<NodeId> ranked_before;
  size_t data_centre_rank = 0;
  size_t region_rank = 0;
  // The first kRanked nodes by falling rank.
  std::map<std::string, std::vector<NodeId>> data_centre_ranks;
  std::map<std::string, std::vector<NodeId>> region_ranks;

  static Overlay Of(const Registry& registry, const NodeId& self);

  // Offsets of the successors in a ring of n nodes.
  static std::set<size_t> Offsets(size_t n);
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_DISTRIBUTION_OVERLAY_H_
