#ifndef DRAGONFLYTACK_DISTRIBUTION_DISTRIBUTION_STATUS_H_
#define DRAGONFLYTACK_DISTRIBUTION_DISTRIBUTION_STATUS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "dragonflytack/base/clock.h"
#include "dragonflytack/base/failure.h"
#include "dragonflytack/distribution/link_class.h"
#include "dragonflytack/distribution/link_id.h"
#include "dragonflytack/registry/node_id.h"
#include "dragonflytack/table/table_version.h"

namespace dragonflytack {

// State of the distribution on one node, as shown to operators.
struct DistributionStatus final {
  struct Link {
    LinkId link = 0;
    NodeId peer;
    LinkClass link_class = LinkClass::kSameDataCentre;
    bool outgoing = false;
    // Time since the last frame from the peer.
    Milliseconds time_since_last_frame{0};
    // Highest version that the peer is known to hold.
    TableVersion version = 0;
  };

  // Whether a table is in force.
  bool in_force = false;
  TableVersion version = 0;
  // Digest of the rows in force.
  uint64_t table_digest = 0;
  // Held version if it is not in force yet, for example because it waits for
  // acknowledgements by peers; otherwise 0.
  TableVersion held = 0;
  // Highest version that the store or a peer has reported.
  TableVersion newest_known = 0;
  // Last version that was refused, 0 if none, and the reason. The subject of
  // the reason names row and column.
  TableVersion refused = 0;
  Failure refusal;
  // Number of refusals since the start.
  uint64_t refusals = 0;
  // Last version that the store or a peer showed with another content than the
  // one that this node held, 0 if none, and the number of such contents since
  // the start.
  TableVersion ambiguous_version = 0;
  uint64_t differing_contents = 0;
  // Wall time in milliseconds of the last edit in the held version by the
  // editor's clock; 0 if this node did not read that version from the store.
  int64_t edit_time_ms = 0;
  std::vector<Link> links;
  // Number of nodes in the registry.
  size_t nodes = 0;
  // Nodes by liveness; their sum is `nodes`.
  size_t alive_nodes = 0;
  size_t suspect_nodes = 0;
  size_t dead_nodes = 0;
  // Number of suspicions on this node that are neither refuted nor expired.
  size_t active_suspicions = 0;
  // Whether the node watches the store.
  bool designated_watcher = false;
  // Whether it watches the store in place of the designated watchers of its
  // data centre because they are unresponsive.
  bool standby_watcher = false;
  // Wall time in milliseconds of the last response from the store, 0 if none.
  int64_t last_store_contact_ms = 0;
  uint64_t store_calls = 0;
  // Number of snapshots that are currently being served.
  size_t snapshots_served = 0;
  // The last 64 versions with the wall time in milliseconds at which each was
  // put in force, oldest first.
  std::vector<std::pair<TableVersion, int64_t>> in_force_since;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_DISTRIBUTION_DISTRIBUTION_STATUS_H_
