#ifndef DRAGONFLYTACK_SRC_DISTRIBUTION_LINK_STATE_H_
#define DRAGONFLYTACK_SRC_DISTRIBUTION_LINK_STATE_H_

#include <cstdint>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "dragonflytack/base/clock.h"
#include "dragonflytack/base/host_port.h"
#include "dragonflytack/distribution/link_class.h"
#include "dragonflytack/distribution/link_id.h"
#include "dragonflytack/registry/node_id.h"
#include "dragonflytack/table/table_version.h"
#include "registry/suspicion.h"

namespace dragonflytack {

// One connection to a peer with what is known about the peer's state.
struct LinkState final {
  // Heartbeats come each second; a peer without one for this long may stand
  // still. It is far below the silence that ends the link, because a change has
  // to be in force 2 s after it was acknowledged.
  static constexpr Milliseconds kQuiet{1'300};

  LinkId id = 0;
  HostPort address;
  bool outgoing = false;
  bool up = false;
  // Empty until the link is up, unless the dialler knows whom it calls.
  NodeId peer;
  std::string data_centre;
  LinkClass link_class = LinkClass::kSameDataCentre;
  TimePoint opened;
  TimePoint last_received;
  bool hello_received = false;
  bool in_force = false;
  // Highest version that the peer is known to hold.
  TableVersion version = 0;
  // Highest version sent to the peer, and when.
  TableVersion offered = 0;
  TimePoint offered_at;
  TimePoint requested_at;
  // Version whose whole table from this peer was refused.
  TableVersion refused = 0;
  // Heartbeats in a row whose registry digest differed.
  int mismatches = 0;
  TimePoint repaired_at;
  // The peer answered `busy` and should not be asked before.
  TimePoint busy_until;
  // What the next batch carries.
  std::set<NodeId> pending_records;
  std::set<std::pair<NodeId, uint64_t>> pending_successions;
  std::vector<Suspicion> pending_suspicions;

  bool IsQuiet(TimePoint now) const { return now - last_received > kQuiet; }
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_DISTRIBUTION_LINK_STATE_H_
