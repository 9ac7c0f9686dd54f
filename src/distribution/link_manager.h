#ifndef DRAGONFLYTACK_SRC_DISTRIBUTION_LINK_KEEPER_H_
#define DRAGONFLYTACK_SRC_DISTRIBUTION_LINK_KEEPER_H_

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

// Keeps the links that the overlay asks for: dials, retires silent links,
// settles duplicates and closes what is no longer wanted.
class LinkManager final {
 public:
  static constexpr Milliseconds kSilence{3'000};
  static constexpr Milliseconds kDialTimeout{3'000};
  static constexpr Milliseconds kMinRedial{250};
  // Bounds the time in which regions find each other again after a partition.
  static constexpr Milliseconds kMaxRedial{2'000};
  // A link that the overlay does not ask for serves joining and is then closed.
  static constexpr Milliseconds kUnwantedTime{10'000};
  // The first nodes of a data centre dial one dead node each time this passes.
  // Two parts of a data centre that declared each other dead meet again so.
  static constexpr Milliseconds kDeadDialInterval{5'000};

  // The pointers must outlive it. `on_unreachable` is called for a ring
  // neighbour to which no connection can be made.
  LinkManager(NodeId self,
              Registry* registry,
              LinkTable* links,
              const Clock* clock,
              Random* random,
              Logger* logger,
              std::function<void(const NodeId&)> on_unreachable);
  LinkManager(const LinkManager&) = delete;
  LinkManager& operator=(const LinkManager&) = delete;

  // Recomputes the overlay when membership changed.
  void Refresh();
  // Closes silent and unwanted links, then dials. `joined` is false while
  // predecessors are asked for the version floor too.
  void Tick(bool joined);
  // Takes a link that came up. Returns null when it is closed as a duplicate.
  LinkState* OnUp(LinkId id, const NodeRecord& peer, bool outgoing);
  void OnDown(LinkId id);
  // Counts all links as heard now, after a pause of this node.
  void ResetSilenceTimers();

  const Overlay& overlay() const { return overlay_; }
  // Whether every neighbour has said hello or failed to answer.
  bool NeighboursSettled() const;
  // Whether this node is a substitute for the speakers of its data centre and
  // has heard none of the nodes that rank before it, as of the last Tick().
  bool IsStandbyWatcherNeeded() const;
  // Whether this node may repair across regions.
  bool IsRegionGateway() const;

 private:
  struct DialState {
    int failures = 0;
    TimePoint next;
  };

  bool IsRingNeighbour(const NodeId& id) const;
  void NoteHeardBefore(bool joined);
  void DialPeer(const NodeId& id);
  void DialOneDead();
  void NoteFailure(const NodeId& id);
  std::set<NodeId> RegionPeers() const;
  bool HasLinkTo(const std::string& data_centre) const;

  const NodeId self_;
  Registry* const registry_;
  LinkTable* const links_;
  const Clock* const clock_;
  Random* const random_;
  Logger* const logger_;
  const std::function<void(const NodeId&)> on_unreachable_;
  Overlay overlay_;
  std::map<NodeId, DialState> dials_;
  // Ring neighbours whose link was lost and that are dialled once to see
  // whether they live.
  std::set<NodeId> probes_;
  // When a node that ranks before this one was last heard. It begins anew when
  // this node joins or becomes a substitute, so that the links have time to
  // come up.
  TimePoint before_heard_;
  // When a link to each data centre was last up.
  std::map<std::string, TimePoint> reached_;
  TimePoint dead_dialled_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_DISTRIBUTION_LINK_KEEPER_H_
