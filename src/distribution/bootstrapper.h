#ifndef DRAGONFLYTACK_SRC_DISTRIBUTION_BOOTSTRAPPER_H_
#define DRAGONFLYTACK_SRC_DISTRIBUTION_BOOTSTRAPPER_H_

#include <cstddef>
#include <functional>
#include <map>
#include <vector>

#include "distribution/backoff.h"
#include "distribution/link_state.h"
#include "distribution/messages.h"
#include "distribution/seed_list.h"
#include "dragonflytack/base/clock.h"
#include "dragonflytack/base/host_port.h"

namespace dragonflytack {

class LinkTable;
class Random;
struct Settings;

// Finds the first peers of a joining node and fetches the snapshot from the
// nearest one that can serve it.
class Bootstrapper final {
 public:
  static constexpr size_t kMaxLinks = 3;
  // The snapshot is requested from a peer only after this delay for each step
  // of LinkClass, so that nearer peers have time to connect.
  static constexpr Milliseconds kDelayPerLinkClass{500};
  static constexpr Milliseconds kSnapshotTimeout{5'000};

  Bootstrapper(const Settings& settings,
               LinkTable* links,
               const Clock* clock,
               Random* random);

  // Adds the peers of the seed list. Those that are not known as live nodes are
  // dialled immediately: they may belong to a part of the fleet with which this
  // node has no connection.
  void OnSeeds(const SeedList& seeds,
               const std::function<bool(const HostPort&)>& is_live);
  // Adds the alternatives that a busy peer named and makes them due for
  // dialling immediately.
  void OnSnapshotBusy(LinkState* link, const SnapshotBusyMessage& message);
  // Handles the end of a snapshot. Confirms it in any case, because its server
  // keeps a slot for it until then. Returns true if it is the requested one and
  // none was received before.
  bool OnSnapshotEnd(LinkState* link);
  // Requests the snapshot again with the next Tick() if it was requested over
  // this link.
  void OnLinkRemoved(LinkId link);
  // Dials candidates while links are missing and requests the snapshot.
  void Tick();
  // Whether a peer is a candidate that was never dialled.
  bool IsUndialled(const HostPort& peer) const;
  // Whether there is such a candidate.
  bool HasUndialled() const;

  // Whether a whole snapshot has been received.
  bool synced() const { return synced_; }
  // Whether a snapshot was requested and is not complete yet.
  bool snapshot_pending() const { return snapshot_link_ != 0; }
  TimePoint started() const { return started_; }

 private:
  struct Candidate {
    // 0 to 2, as LinkClass; 0 for configured seeds and named alternatives.
    int distance = 0;
    TimePoint next_dial;
    Backoff backoff{Milliseconds(500), Milliseconds(5'000)};
  };

  void DialCandidates();
  void RequestSnapshot();

  const HostPort own_address_;
  const std::string region_;
  const std::string data_centre_;
  LinkTable* const links_;
  const Clock* const clock_;
  Random* const random_;
  std::map<HostPort, Candidate> candidates_;
  bool synced_ = false;
  LinkId snapshot_link_ = 0;
  TimePoint snapshot_requested_at_;
  TimePoint started_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_DISTRIBUTION_BOOTSTRAPPER_H_
