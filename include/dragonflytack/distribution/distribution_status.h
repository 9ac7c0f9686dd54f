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

// What operators see of a node's part in the distribution.
struct DistributionStatus final {
  struct Link {
    LinkId link = 0;
    NodeId peer;
    LinkClass link_class = LinkClass::kSameDataCentre;
    bool outgoing = false;
    // Time since the last frame from the peer.
    Milliseconds silent_for{0};
    // Highest version that the peer is known to hold.
    TableVersion version = 0;
  };

  // Whether a table is in force.
  bool in_force = false;
  TableVersion version = 0;
  // Digest of the rows in force.
  uint64_t table_digest = 0;
  // Version that was read from the store and waits for acknowledgements; 0
  // when there is none.
  TableVersion held = 0;
  // Last version that was refused, 0 for none, and why. Its subject names row
  // and column.
  TableVersion refused = 0;
  Failure refusal;
  // Number of refusals since the start.
  uint64_t refusals = 0;
  // Wall time in milliseconds of the last edit in the newest version by the
  // editor's clock; 0 when this node did not read that version from the store.
  int64_t edit_ms = 0;
  std::vector<Link> links;
  size_t nodes = 0;
  // Nodes by liveness; their sum is `nodes`.
  size_t alive_nodes = 0;
  size_t suspect_nodes = 0;
  size_t dead_nodes = 0;
  size_t suspects = 0;
  // Whether it watches the store.
  bool designated_watcher = false;
  // Whether it does so in place of the speakers of its data centre, which it
  // does not hear.
  bool standby_watcher = false;
  // Wall time in milliseconds of the last answer from the store, 0 for never.
  int64_t last_store_contact_ms = 0;
  uint64_t store_calls = 0;
  // Snapshots that are being served.
  size_t snapshots_served = 0;
  // The last 64 versions with the wall time in milliseconds at which each was
  // put in force, oldest first.
  std::vector<std::pair<TableVersion, int64_t>> in_force_since;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_DISTRIBUTION_DISTRIBUTION_STATUS_H_
