#ifndef DRAGONFLYTACK_SRC_DISTRIBUTION_JOINER_H_
#define DRAGONFLYTACK_SRC_DISTRIBUTION_JOINER_H_

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

// Finds the first peers of a started node and gets the snapshot from the
// nearest that can serve it.
class Bootstrapper final {
 public:
  static constexpr size_t kMaxLinks = 3;
  // Time that nearer peers have to come up before one of a farther class is
  // asked for the snapshot.
  static constexpr Milliseconds kPatiencePerClass{500};
  static constexpr Milliseconds kSnapshotTimeout{5'000};

  Bootstrapper(const Settings& settings,
               LinkTable* links,
               const Clock* clock,
               Random* random);

  // Adds the peers of the store's list. Those where no live node is known are
  // dialled at once: they may belong to a part of the fleet that this node has
  // not met.
  void OnSeeds(const SeedList& seeds,
               const std::function<bool(const HostPort&)>& is_live);
  // Adds peers that a busy one named; they are asked first.
  void OnSnapshotBusy(LinkState* link, const SnapshotBusyMessage& message);
  // Takes the end of a snapshot. Returns whether it was the one asked for.
  bool OnSnapshotEnd(LinkState* link);
  void OnLinkDown(LinkId link);
  // Dials candidates while links are missing and asks for the snapshot.
  void Tick();
  // Whether a peer of the store's list was never dialled.
  bool IsUntried(const HostPort& peer) const;

  bool synced() const { return synced_; }
  // Whether a snapshot was asked for and is awaited.
  bool asking() const { return asked_ != 0; }
  TimePoint started() const { return started_; }

 private:
  struct Candidate {
    // 0 to 2 as LinkClass; configured and named ones count as near.
    int distance = 0;
    TimePoint next;
    Backoff backoff{Milliseconds(500), Milliseconds(5'000)};
  };

  void DialCandidates();
  void AskForSnapshot();

  const HostPort own_address_;
  const std::string region_;
  const std::string data_centre_;
  LinkTable* const links_;
  const Clock* const clock_;
  Random* const random_;
  std::map<HostPort, Candidate> candidates_;
  bool synced_ = false;
  LinkId asked_ = 0;
  TimePoint asked_at_;
  TimePoint started_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_DISTRIBUTION_JOINER_H_
