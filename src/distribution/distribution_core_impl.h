#ifndef DRAGONFLYTACK_SRC_DISTRIBUTION_DISTRIBUTION_CORE_IMPL_H_
#define DRAGONFLYTACK_SRC_DISTRIBUTION_DISTRIBUTION_CORE_IMPL_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "distribution/bootstrapper.h"
#include "distribution/departure_store.h"
#include "distribution/link_manager.h"
#include "distribution/link_table.h"
#include "distribution/peer_version_cache.h"
#include "distribution/registry_sync.h"
#include "distribution/route_builder.h"
#include "distribution/seed_list_updater.h"
#include "distribution/snapshot_server.h"
#include "distribution/table_restorer.h"
#include "distribution/table_sync.h"
#include "distribution/table_watcher.h"
#include "distribution/throttled_store_client.h"
#include "dragonflytack/base/random.h"
#include "dragonflytack/base/settings.h"
#include "dragonflytack/base/timer_service.h"
#include "dragonflytack/distribution/distribution_core.h"
#include "dragonflytack/distribution/distribution_status.h"
#include "registry/registry.h"

namespace dragonflytack {

// Connects the components of the core to each other, to the timers and to the
// link layer.
class DistributionCore::Impl final {
 public:
  static constexpr Milliseconds kTickPeriod{200};
  static constexpr Milliseconds kHeartbeatPeriod{1'000};
  // If a tick is late by more than this, the process counts as having been
  // paused.
  static constexpr Milliseconds kMaxPause{1'000};
  static constexpr Milliseconds kExpiryPeriod{60'000};
  // Minimum interval between rebuilds of the routes when many records arrive.
  static constexpr Milliseconds kRoutesInterval{200};

  Impl(const Settings& settings,
       TimerService* timers,
       StoreClient* store,
       LinkLayer* layer,
       Logger* logger,
       uint64_t seed);
  ~Impl();
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  void set_on_routes(RoutesCallback on_routes) {
    on_routes_ = std::move(on_routes);
  }
  void set_on_departure(DepartureCallback on_departure) {
    on_departure_ = std::move(on_departure);
  }
  void set_on_departure_status(std::function<void()> on_departure_status) {
    on_departure_status_ = std::move(on_departure_status);
  }
  void Start();
  void OnLinkUp(LinkId id, const NodeRecord& peer, bool outgoing);
  void OnFrame(LinkId id, std::string_view frame);
  void OnLinkDown(LinkId id, const Failure& reason);
  void SetTarget(const std::string& service,
                 TargetState state,
                 int slots,
                 const std::string& release);
  void SetDeparture(const TargetRun& run);
  bool KnowsDepartures() const {
    // A process that had no link yet may have acknowledged a departure that the
    // peers do not know, so the store comes first.
    return departure_store_.is_read() ||
           (peer_knows_departures_ && departure_store_.is_overdue());
  }
  bool IsDepartureStored(const TargetRun& run) const {
    return departure_store_.Holds(run);
  }
  void SetRolloutRole(bool is_controller);
  void PublishShare(const RolloutShare& share);
  const RolloutShares& rollout_shares() const {
    return registry_.rollout_shares();
  }
  void BeginDrain();
  void AnnounceSuccessor(const NodeId& successor);
  void AnnounceTakeover(const NodeId& owner, uint64_t incarnation);
  const NodeRecord& self() const { return registry_sync_.self(); }
  std::shared_ptr<const Table> table() const { return table_sync_.in_force(); }
  DistributionStatus Status() const;
  const TrafficCounters& traffic() const { return links_.traffic(); }
  std::optional<NodeRecord> FindRecord(const NodeId& id) const;
  std::vector<Endpoint> KnownNodes() const;

 private:
  // Each overload handles one alternative of Message.
  void Handle(LinkState* link, const HelloMessage& message);
  void Handle(LinkState* link, const HeartbeatMessage& message);
  void Handle(LinkState* link, const RecordsMessage& message);
  void Handle(LinkState* link, const SuspicionsMessage& message);
  void Handle(LinkState* link, const DeltaMessage& message);
  void Handle(LinkState* link, const HeldVersionMessage& message);
  void Handle(LinkState* link, const TableRequestMessage& message);
  void Handle(LinkState* link, const TableMessage& message);
  void Handle(LinkState* link, const SnapshotRequestMessage& message);
  void Handle(LinkState* link, const SnapshotEndMessage& message);
  void Handle(LinkState* link, const SnapshotReceivedMessage& message);
  void Handle(LinkState* link, const SnapshotBusyMessage& message);
  void Handle(LinkState* link, const BucketsMessage& message);
  void Handle(LinkState* link, const BucketHashesMessage& message);
  void Handle(LinkState* link, const EntryRequestMessage& message);

  void SendHello(LinkState* link);
  // Handles the departure that a peer or the store has for this node.
  void OnKnownDeparture(const std::string& source, const TargetRun& run);
  // Called when a peer has named the departure of this node, or that it has
  // none.
  void OnDeparturesKnown(const LinkState& link);
  void Tick();
  void SendHeartbeats();
  void OnWatchServedChanged();
  StoreWatchState OwnWatchState() const;
  // Updates the standby role and starts or stops watching the store.
  void UpdateWatcherRole();
  void EvaluateTable();
  // Whether a joining node may rely on the version that the store reported
  // without a peer that confirms it. A store that has eras may have come back
  // from an older copy, so the node first waits for the peers that it finds.
  bool IsStoreVersionSufficient() const;
  // Whether the version that the store named to this joining node is that of an
  // older copy, so that the node waits for peers with a later one. Until then
  // it lists itself as a seed if it finds no peer: the copy may lack the nodes
  // that started since, and no node that has joined may be left to list them.
  bool IsStoreOutdated() const;
  // Fetches the table from the store if a joining node does not get it from a
  // peer: immediately if there is no peer, otherwise after a grace period. The
  // period is longer on nodes that are not designated watchers, so that the
  // designated watchers read the table first and send it to them.
  void FetchTableWhileJoining();
  void OnStoreVersion(StoreVersion version);
  // Accepts or refuses a table that was read from the store, and informs the
  // peers of a refusal.
  void OnStoreObject(const StoreObject& object);
  void OnTableInForce();
  void OnRegistryChange();
  void FlushBatch();
  void PublishRoutes();
  // Publishes routes if a newer version has become known since the last ones.
  void PublishNewestVersion();
  // Returns the new entry of this node's data centre in the seed list, given
  // the listed one.
  SeedList::DataCentre MakeOwnSeedEntry(
      const SeedList::DataCentre& listed) const;
  // Returns whether the registry has a live node at this address.
  bool IsLive(const HostPort& peer) const;
  // Returns whether no peer has reported a later table than this node holds.
  bool HoldsNewestTable() const;
  // Returns how long this node leaves the write-back of the table to nodes that
  // rank before it.
  Milliseconds RestoreDelay() const;
  // Whether a table is in force.
  bool joined() const { return table_sync_.in_force() != nullptr; }
  // Whether this node watches the store: as a designated watcher, as a standby
  // watcher, or because the settings make every node watch.
  bool IsDesignatedWatcher() const;

  const Settings settings_;
  TimerService* const timers_;
  Logger* const logger_;
  Random random_;
  RoutesCallback on_routes_;
  DepartureCallback on_departure_;
  std::function<void()> on_departure_status_;
  Registry registry_;
  LinkTable links_;
  RegistrySync registry_sync_;
  TableSync table_sync_;
  LinkManager link_manager_;
  SnapshotServer snapshot_server_;
  Bootstrapper bootstrapper_;
  ThrottledStoreClient store_;
  TableWatcher table_watcher_;
  TableRestorer table_restorer_;
  SeedListUpdater seed_list_updater_;
  DepartureStore departure_store_;
  RouteBuilder route_builder_;
  PeerVersionCache peer_versions_;
  std::shared_ptr<const RouteSnapshot> published_routes_;
  // Whether this node watches the store because its data centre's designated
  // watchers are unresponsive.
  bool is_standby_watcher_ = false;
  bool draining_ = false;
  bool peer_knows_departures_ = false;
  bool started_ = false;
  // When the store first responded before this node had a table in force.
  TimePoint store_responded_at_;
  TimePoint last_tick_;
  TimePoint last_expiry_;
  TimePoint routes_published_at_;
  TimerId tick_timer_ = 0;
  TimerId heartbeat_timer_ = 0;
  TimerId batch_timer_ = 0;
  TimerId routes_timer_ = 0;
  TimerId probe_timer_ = 0;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_DISTRIBUTION_DISTRIBUTION_CORE_IMPL_H_
