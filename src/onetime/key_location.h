#ifndef DRAGONFLYTACK_ONETIME_KEY_LOCATION_H_
#define DRAGONFLYTACK_ONETIME_KEY_LOCATION_H_

#include <vector>

#include "dragonflytack/routing/node_location.h"
#include "onetime/owner_incarnation.h"

namespace dragonflytack {

class OneTimeRecords;
struct RouteSnapshot;

// The location of an owner's records according to this node's snapshot.
struct KeyLocation final {
  enum class Kind {
    kLocal,
    kRemote,
    // The owner's process ended without a handover, so the outcome of its calls
    // is unknown.
    kLost,
  };

  Kind kind = Kind::kLost;
  // kRemote: the node to forward a call to. It may in turn redirect the call to
  // another node.
  NodeLocation node;

  static KeyLocation Find(const OwnerIncarnation& owner,
                          const RouteSnapshot& routes,
                          const OneTimeRecords& records);
};

// Returns the nodes that may take over the records of `self`, in order of
// preference: the nodes of its data centre, starting with the next lower rank,
// then those of other data centres. Considers only nodes beside a warming or
// ready target, because only their data centre is known.
std::vector<NodeLocation> SuccessorCandidates(const NodeId& self,
                                              const std::string& data_centre,
                                              const RouteSnapshot& routes);

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_ONETIME_KEY_LOCATION_H_
