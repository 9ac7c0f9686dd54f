#ifndef DRAGONFLYTACK_SRC_DISTRIBUTION_LINK_MANAGER_H_
#define DRAGONFLYTACK_SRC_DISTRIBUTION_LINK_MANAGER_H_

#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <string>

#include "distribution/link_state.h"
#include "distribution/overlay.h"
#include "dragonflytack/base/clock.h"
#include "dragonflytack/registry/node_record.h"

namespace dragonflytack {

class LinkTable;
class Logger;
class Random;
class Registry;

// Maintains the links that the overlay requires: dials peers and closes links
// that are unresponsive, duplicate or no longer wanted.
class LinkManager final {
 public:
  // A link on which nothing is received for this long is closed.
  static constexpr Milliseconds kLinkTimeout{3'000};
  static constexpr Milliseconds kDialTimeout{3'000};
  static constexpr Milliseconds kMinRedialDelay{250};
  // Bounds the time until regions reconnect after a partition.
  static constexpr Milliseconds kMaxRedialDelay{2'000};
  // A link that the overlay does not require, such as one made to join, is
  // closed after this time.
  static constexpr Milliseconds kUnwantedLinkLifetime{10'000};
  // Time after which the first standby watcher watches in place of nodes that
  // the store does not serve, and what each further one waits longer. A change
  // has to be in force 7 s after it was acknowledged while the store rejects
  // some nodes, and a watch that gets no response is given up after 4 s.
  static constexpr Milliseconds kStandbyDelay{2'000};
  static constexpr Milliseconds kStandbyRankDelay{500};
  // Interval at which each gateway of a data centre dials one dead node, so
  // that two parts of a data centre that declared each other dead reconnect.
  static constexpr Milliseconds kDeadDialInterval{5'000};

  // The pointers must outlive this object. `on_unreachable` is called for a
  // ring neighbour to which no connection can be made.
  LinkManager(NodeId self,
              Registry* registry,
              LinkTable* links,
              const Clock* clock,
              Random* random,
              Logger* logger,
              std::function<void(const NodeId&)> on_unreachable);
  LinkManager(const LinkManager&) = delete;
  LinkManager& operator=(const LinkManager&) = delete;

  // Recomputes the overlay if the membership changed.
  void Refresh();
  // Closes unresponsive and unwanted links, then dials missing ones. While
  // `joined` is false, links to the predecessors are wanted too, because these
  // nodes contribute to the version floor.
  void Tick(bool joined);
  // Registers a link that came up. Returns null if it was closed as a duplicate
  // or as a link of this node to itself.
  LinkState* OnLinkUp(LinkId id, const NodeRecord& peer, bool outgoing);
  void OnLinkDown(LinkId id);
  // Restarts the timeouts of all links, after a pause of this node.
  void ResetSilenceTimers();

  const Overlay& overlay() const { return overlay_; }
  // Whether each ring neighbour has sent its hello or failed to connect.
  bool AllNeighboursContacted() const;
  // Whether this node is a standby watcher of its data centre and all nodes
  // with a higher rank are unresponsive, or watch the store without being
  // served, as of the last Tick().
  bool IsStandbyWatcherNeeded() const;
  // Returns how many nodes with a higher rank are linked and watch the store
  // without being served.
  size_t CountFailingWatchers() const;
  // Whether this node links to other regions and may repair across them.
  bool IsRegionGateway() const;

 private:
  struct DialState {
    int failures = 0;
    TimePoint next_dial;
  };

  bool IsRingNeighbour(const NodeId& id) const;
  void UpdateHigherRankedContact(bool joined);
  // Whether the node watches the store by its rank or report, and did not
  // report that the watch fails.
  bool IsServedWatcher(const LinkState& link) const;
  void DialPeer(const NodeId& id);
  void DialOneDeadNode();
  void RecordDialFailure(const NodeId& id);
  std::set<NodeId> RegionPeers() const;
  bool HasRecentLinkTo(const std::string& data_centre) const;

  const NodeId self_;
  Registry* const registry_;
  LinkTable* const links_;
  const Clock* const clock_;
  Random* const random_;
  Logger* const logger_;
  const std::function<void(const NodeId&)> on_unreachable_;
  Overlay overlay_;
  std::map<NodeId, DialState> dials_;
  // Ring neighbours whose link was lost. Each is dialled once to find out
  // whether it is reachable.
  std::set<NodeId> probes_;
  // When a node with a higher rank last showed that it watches the store and is
  // served. Kept at the current time like the next member.
  TimePoint store_last_watched_;
  // When a frame of a node with a higher rank last arrived. Kept at the current
  // time until this node has joined and is a standby watcher, so that the links
  // have time to come up.
  TimePoint higher_ranked_last_received_;
  // When a link to each data centre was last up.
  std::map<std::string, TimePoint> last_link_up_;
  TimePoint last_dead_dial_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_DISTRIBUTION_LINK_MANAGER_H_
