#ifndef DRAGONFLYTACK_ONETIME_KEY_LOCATION_H_
#define DRAGONFLYTACK_ONETIME_KEY_LOCATION_H_

#include <vector>

#include "dragonflytack/routing/node_location.h"
#include "onetime/owner_incarnation.h"

namespace dragonflytack {

class OneTimeRecords;
struct RouteSnapshot;

// Where the records of a home are, as far as this node knows.
struct KeyLocation final {
  enum class Kind {
    kHere,
    kNode,
    // The home's process ended without a handover, so its calls are unknown.
    kGone,
  };

  Kind kind = Kind::kGone;
  // Where to forward a call in kNode. That node may itself answer with another
  // one.
  NodeLocation node;

  static KeyLocation Find(const OwnerIncarnation& owner,
                          const RouteSnapshot& routes,
                          const OneTimeRecords& records);
};

// Returns the nodes that may take over the records of `self`, best first: the
// next ones in rank of its data centre, then those of other data centres. Only
// nodes beside a warming or ready target are known by data centre.
std::vector<NodeLocation> SuccessorCandidates(const NodeId& self,
                                              const std::string& data_centre,
                                              const RouteSnapshot& routes);

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_ONETIME_KEY_LOCATION_H_
