#ifndef DRAGONFLYTACK_SRC_DISTRIBUTION_DISTRIBUTION_CORE_IMPL_H_
#define DRAGONFLYTACK_SRC_DISTRIBUTION_DISTRIBUTION_CORE_IMPL_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "distribution/bootstrapper.h"
#include "distribution/link_manager.h"
#include "distribution/link_table.h"
#include "distribution/registry_sync.h"
#include "distribution/route_builder.h"
#include "distribution/seed_list_updater.h"
#include "distribution/snapshot_server.h"
#include "distribution/table_sync.h"
#include "distribution/table_watcher.h"
#include "distribution/throttled_store_client.h"
#include "distribution/version_memory.h"
#include "dragonflytack/base/random.h"
#include "dragonflytack/base/settings.h"
#include "dragonflytack/base/timer_service.h"
#include "dragonflytack/distribution/distribution_core.h"
#include "dragonflytack/distribution/distribution_status.h"
#include "registry/registry.h"

namespace dragonflytack {

// Connects the parts of the core with each other, the timers and the callers.
class DistributionCore::Impl final {
 public:
  static constexpr Milliseconds kTickPeriod{200};
  static constexpr Milliseconds kHeartbeatPeriod{1'000};
  // A gap between ticks above this counts as a pause of the process.
  static constexpr Milliseconds kMaxPause{1'000};
  static constexpr Milliseconds kExpiryPeriod{60'000};
  // Under a storm of records, routes are rebuilt no more often than this.
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
  void Start();
  void OnLinkUp(LinkId id, const NodeRecord& peer, bool outgoing);
  void OnFrame(LinkId id, std::string_view frame);
  void OnLinkDown(LinkId id, const Failure& reason);
  void SetTarget(const std::string& service, TargetState state, int slots);
  void BeginDrain();
  void AnnounceSuccessor(const NodeId& successor);
  void AnnounceTakeover(const NodeId& owner, uint64_t incarnation);
  const NodeRecord& self() const { return records_.self(); }
  std::shared_ptr<const Table> table() const { return table_.in_force(); }
  DistributionStatus Status() const;
  const TrafficCounters& traffic() const { return links_.traffic(); }
  std::vector<Endpoint> KnownNodes() const;

 private:
  // Handles one kind of message; chosen by the alternative of Message.
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
  void Handle(LinkState* link, const SnapshotTakenMessage& message);
  void Handle(LinkState* link, const SnapshotBusyMessage& message);
  void Handle(LinkState* link, const BucketsMessage& message);
  void Handle(LinkState* link, const BucketHashesMessage& message);
  void Handle(LinkState* link, const EntryRequestMessage& message);

  void SendHello(LinkState* link);
  void Tick();
  void Heartbeat();
  void UpdateWatcherRole();
  void EvaluateTable();
  void FetchWhenAlone();
  void OnStoreVersion(StoreVersion version);
  void OnTableInForce();
  void OnRegistryChange();
  void FlushBatch();
  void PublishRoutes();
  SeedList::DataCentre ListOwnDataCentre(
      const SeedList::DataCentre& listed) const;
  // Whether a live node is known at this address.
  bool IsLive(const HostPort& peer) const;
  bool joined() const { return table_.in_force() != nullptr; }
  bool IsDesignatedWatcher() const;

  const Settings settings_;
  TimerService* const timers_;
  Logger* const logger_;
  Random random_;
  RoutesCallback on_routes_;
  Registry registry_;
  LinkTable links_;
  RegistrySync records_;
  TableSync table_;
  LinkManager link_manager_;
  SnapshotServer snapshots_;
  Bootstrapper bootstrapper_;
  ThrottledStoreClient store_;
  TableWatcher watcher_;
  SeedListUpdater seeds_;
  RouteBuilder routes_;
  VersionMemory memory_;
  std::shared_ptr<const RouteSnapshot> published_;
  // Whether this node watches the store because the speakers are silent.
  bool is_standby_watcher_ = false;
  bool draining_ = false;
  bool started_ = false;
  TimePoint last_tick_;
  TimePoint last_expiry_;
  TimePoint last_routes_;
  TimerId tick_timer_ = 0;
  TimerId heartbeat_timer_ = 0;
  TimerId batch_timer_ = 0;
  TimerId routes_timer_ = 0;
  TimerId probe_timer_ = 0;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_DISTRIBUTION_DISTRIBUTION_CORE_IMPL_H_
