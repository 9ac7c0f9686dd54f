#ifndef DRAGONFLYTACK_DISTRIBUTION_DISTRIBUTION_CORE_H_
#define DRAGONFLYTACK_DISTRIBUTION_DISTRIBUTION_CORE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "dragonflytack/base/failure.h"
#include "dragonflytack/distribution/distribution_status.h"
#include "dragonflytack/distribution/link_id.h"
#include "dragonflytack/distribution/traffic_counters.h"
#include "dragonflytack/registry/node_record.h"

namespace dragonflytack {

class LinkLayer;
class Logger;
class StoreClient;
class RolloutShares;
class Table;
class TimerService;
struct Endpoint;
struct RouteSnapshot;
struct Settings;
struct TargetRun;

// Decides which table version and which endpoints are in force on this node and
// which messages are sent to which peers. Performs no I/O itself and runs on
// the control task's thread.
class DistributionCore final {
 public:
  using RoutesCallback =
      std::function<void(std::shared_ptr<const RouteSnapshot>)>;
  using DepartureCallback = std::function<void(const TargetRun&)>;

  // All pointers must outlive the core. `seed` initializes the random numbers
  // for jitter and selection, so that tests are reproducible.
  DistributionCore(const Settings& settings,
                   TimerService* timers,
                   StoreClient* store,
                   LinkLayer* links,
                   Logger* logger,
                   uint64_t seed);
  ~DistributionCore();
  DistributionCore(const DistributionCore&) = delete;
  DistributionCore& operator=(const DistributionCore&) = delete;

  // Sets the function that is called with each new snapshot that is put in
  // force. It is called from timers and responses of the store, and from within
  // OnFrame(), OnLinkDown(), SetTarget(), BeginDrain(), AnnounceSuccessor() and
  // AnnounceTakeover(). It must not destroy the core and must not report events
  // of links, but may call the other functions. Such a call can put a newer
  // snapshot in force and report it before it returns, so the receiver has to
  // be done with its own snapshot by then.
  void set_on_routes(RoutesCallback on_routes);

  // Sets the function that is called when a peer or the store reports a
  // departure of this node's target that an earlier process of this node
  // acknowledged. It is called from responses of the store and from within
  // OnFrame(), and must not destroy the core, but may call its other functions
  // except the reports of links.
  void set_on_departure(DepartureCallback on_departure);

  // Sets the function that is called when the result of KnowsDepartures() or
  // IsDepartureStored() may have changed, as set_on_departure().
  void set_on_departure_status(std::function<void()> on_departure_status);

  // Starts to join the fleet.
  void Start();

  // Events from the link layer. `peer` is the record that the peer presented in
  // the handshake.
  void OnLinkUp(LinkId link, const NodeRecord& peer, bool outgoing);
  void OnFrame(LinkId link, std::string_view frame);
  void OnLinkDown(LinkId link, const Failure& reason);

  // Sets the local target's service, state and slots as the target announced
  // them. If `slots` is 0, the table's value applies.
  // `release` is the version of its software, empty if unknown.
  void SetTarget(const std::string& service,
                 TargetState state,
                 int slots,
                 const std::string& release = {});

  // Records that a run of the local target leaves, announces it on all links
  // immediately and begins to write it to the store. Ignored if the run is
  // empty or earlier than the recorded one.
  void SetDeparture(const TargetRun& run);

  // Whether the store has reported what departures earlier processes of this
  // node acknowledged, or, while the store does not respond, a peer that has a
  // record of one of them.
  bool KnowsDepartures() const;

  // Whether the store holds the departure of this run or of a later one, so
  // that it outlives all processes.
  bool IsDepartureStored(const TargetRun& run) const;

  // Sets whether this node publishes the roll-out shares that it knows.
  void SetRolloutRole(bool is_controller);

  // Puts a share in force on this node, and in the fleet if this node is a
  // roll-out controller, unless a newer one is known.
  void PublishShare(const RolloutShare& share);

  // The newest share of each service that this node knows.
  const RolloutShares& rollout_shares() const;

  // Announces the state `draining` on all links immediately. The caller
  // performs the other steps of a planned stop.
  void BeginDrain();

  // Announces the state `left` and the node that takes over this node's
  // one-time records.
  void AnnounceSuccessor(const NodeId& successor);

  // Announces that this node took over the one-time records of (owner,
  // incarnation).
  void AnnounceTakeover(const NodeId& owner, uint64_t incarnation);

  // This node's own record, which the link layer presents in handshakes.
  const NodeRecord& self() const;

  // The table in force; null before the first one.
  std::shared_ptr<const Table> table() const;

  // Returns the state that is shown to operators.
  DistributionStatus Status() const;

  // Frames and bytes on the links since the start.
  const TrafficCounters& traffic() const;

  // Returns the record of a node, std::nullopt if it is unknown.
  std::optional<NodeRecord> FindRecord(const NodeId& id) const;

  // Returns all records in the registry, sorted by id, with the liveness of
  // each node.
  std::vector<Endpoint> KnownNodes() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_DISTRIBUTION_DISTRIBUTION_CORE_H_
