#ifndef DRAGONFLYTACK_SRC_DISTRIBUTION_LINK_STATE_H_
#define DRAGONFLYTACK_SRC_DISTRIBUTION_LINK_STATE_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "distribution/store_watch_state.h"
#include "dragonflytack/base/clock.h"
#include "dragonflytack/base/host_port.h"
#include "dragonflytack/distribution/link_class.h"
#include "dragonflytack/distribution/link_id.h"
#include "dragonflytack/registry/node_id.h"
#include "dragonflytack/table/table_version.h"
#include "registry/suspicion.h"

namespace dragonflytack {

// State of a link and of the peer at its other end.
struct LinkState final {
  // Peers send a heartbeat each second; one from which nothing was received for
  // this long is considered unresponsive. It is far below the timeout that
  // closes a link, because a change has to be in force 2 s after it was
  // acknowledged.
  static constexpr Milliseconds kUnresponsiveAfter{1'300};

  LinkId id = 0;
  HostPort address;
  bool outgoing = false;
  bool up = false;
  // Empty until the link is up, unless the peer was dialled by its id.
  NodeId peer;
  std::string data_centre;
  LinkClass link_class = LinkClass::kSameDataCentre;
  // When dialling started or, if the link is up, when it came up.
  TimePoint opened;
  TimePoint last_received;
  bool hello_received = false;
  // Whether the peer has a table in force.
  bool in_force = false;
  // As of the last heartbeat of the peer.
  StoreWatchState store_watch = StoreWatchState::kDefault;
  // Highest table version that the peer is known to hold.
  TableVersion version = 0;
  // Since when that version is above the one that this node holds, recorded
  // until this node has a table in force.
  std::optional<TimePoint> newer_since;
  // Highest version sent to the peer, and when.
  TableVersion last_sent_version = 0;
  TimePoint last_sent_at;
  TimePoint table_requested_at;
  // Version whose whole table from this peer was refused.
  TableVersion refused = 0;
  // Consecutive heartbeats whose registry digest differed.
  int digest_mismatches = 0;
  // When this node last started a repair over the link.
  TimePoint last_repair;
  // Set when the peer responds that it is busy; no snapshot is requested from
  // it before this time.
  TimePoint busy_until;
  // Contents of the next batch.
  std::set<NodeId> pending_records;
  std::set<std::pair<NodeId, uint64_t>> pending_successions;
  std::vector<Suspicion> pending_suspicions;

  bool HasPendingBatch() const {
    return !pending_records.empty() || !pending_successions.empty() ||
           !pending_suspicions.empty();
  }
  bool IsUnresponsive(TimePoint now) const {
    return now - last_received > kUnresponsiveAfter;
  }
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_DISTRIBUTION_LINK_STATE_H_
