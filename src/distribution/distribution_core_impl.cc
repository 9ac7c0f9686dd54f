#include "distribution/distribution_core_impl.h"

#include <algorithm>
#include <utility>

#include "distribution/message_codec.h"
#include "dragonflytack/base/hash.h"
#include "dragonflytack/base/logger.h"
#include "dragonflytack/routing/route_snapshot.h"
#include "dragonflytack/table/table.h"

namespace dragonflytack {

namespace {

// A joining node waits this long for its peers before it watches or reads the
// store itself.
constexpr Milliseconds kWatcherGracePeriod{1'500};
// A joining node waits at most this long after the store's first response for a
// peer that confirms the version that the store reported. While the store is
// away, the node cannot find its peers. Callers are refused meanwhile.
constexpr Milliseconds kPeerResponseTimeout{1'000};
// A joining node waits this long after the first response of the store for
// peers with a later table if the store has returned from an older copy. It
// covers the longest interval at which a node without links reads the seed
// list.
constexpr Milliseconds kCopyGracePeriod{15'000};
// Time between the write-backs of nodes with successive ranks in a region, and
// the highest rank that counts. It is enough for a read and a write.
constexpr Milliseconds kRestoreRankDelay{300};
constexpr size_t kMaxRestoreRank = 8;

NodeRecord MakeOwnRecord(const Settings& settings, const Clock& clock) {
  NodeRecord record;
  record.id = settings.node_id;
  record.incarnation = static_cast<uint64_t>(clock.WallMillis());
  record.sequence = 1;
  record.region = settings.region;
  record.data_centre = settings.data_centre;
  record.address = settings.address;
  record.peer_port = settings.peer_port;
  record.mesh_port = settings.mesh_port;
  record.admin_port = settings.admin_port;
  return record;
}

}  // namespace

DistributionCore::Impl::Impl(const Settings& settings,
                             TimerService* timers,
                             StoreClient* store,
                             LinkLayer* layer,
                             Logger* logger,
                             uint64_t seed)
    : settings_(settings),
      timers_(timers),
      logger_(logger),
      random_(seed),
      registry_(&timers->clock()),
      links_(layer, &timers->clock(), settings.region, settings.data_centre),
      registry_sync_(MakeOwnRecord(settings, timers->clock()),
                     &registry_,
                     &links_,
                     &timers->clock(),
                     logger,
                     [this] { OnRegistryChange(); }),
      table_sync_(&links_,
                  &timers->clock(),
                  logger,
                  settings.watch_on_every_node),
      link_manager_(settings.node_id,
                    &registry_,
                    &links_,
                    &timers->clock(),
                    &random_,
                    logger,
                    [this](const NodeId& id) { registry_sync_.Suspect(id); }),
      snapshot_server_(&registry_,
                       &registry_sync_,
                       &table_sync_,
                       &links_,
                       &timers->clock(),
                       &random_),
      bootstrapper_(settings, &links_, &timers->clock(), &random_),
      store_(store, &timers->clock()),
      table_watcher_(
          &store_,
          timers,
          &random_,
          [this] {
            return std::max(table_sync_.held_version(), table_sync_.refused());
          },
          [this](StoreVersion version) { OnStoreVersion(version); },
          [this](const StoreObject& object) { OnStoreObject(object); },
          [this] { OnWatchServedChanged(); }),
      table_restorer_(
          settings.node_id,
          &store_,
          &timers->clock(),
          &random_,
          logger,
          [this] { return table_sync_.held_table(); },
          [this] { return HoldsNewestTable(); },
          [this](const StoreObject& object) { OnStoreObject(object); }),
      seed_list_updater_(
          settings.data_centre,
          &store_,
          &timers->clock(),
          &random_,
          logger,
          [this](const SeedList::DataCentre& listed) {
            return MakeOwnSeedEntry(listed);
          },
          [this](const SeedList& seeds) {
            bootstrapper_.OnSeeds(
                seeds, [this](const HostPort& peer) { return IsLive(peer); });
            EvaluateTable();
          }),
      departure_store_(
          settings.node_id,
          &store_,
          timers,
          Hash64(settings.node_id, seed),
          logger,
          [this](const TargetRun& run) { OnKnownDeparture("store", run); },
          [this] {
            if (on_departure_status_) {
              on_departure_status_();
            }
          }),
      route_builder_(&registry_, settings.has_rollouts()) {
  links_.set_on_removed([this](LinkId link) {
    bootstrapper_.OnLinkRemoved(link);
    snapshot_server_.Release(link);
  });
  table_sync_.set_on_in_force([this] { OnTableInForce(); });
}

DistributionCore::Impl::~Impl() {
  for (const TimerId timer : {tick_timer_, heartbeat_timer_, batch_timer_,
                              routes_timer_, probe_timer_}) {
    timers_->Cancel(timer);
  }
}

void DistributionCore::Impl::Start() {
  started_ = true;
  const TimePoint now = timers_->clock().Now();
  last_tick_ = now;
  last_expiry_ = now;
  link_manager_.Refresh();
  tick_timer_ = timers_->SubscribeEvery(kTickPeriod, [this] { Tick(); });
  heartbeat_timer_ =
      timers_->SubscribeEvery(kHeartbeatPeriod, [this] { SendHeartbeats(); });
  // The random delay keeps nodes that start together from calling the store at
  // the same instant. It is short because callers wait meanwhile; calls refused
  // by an overloaded store are retried.
  probe_timer_ =
      timers_->SubscribeOnce(Milliseconds(random_.Below(100)), [this] {
        table_watcher_.Probe();
        seed_list_updater_.Tick(links_.up_count() == 0, false);
      });
  departure_store_.Start();
  bootstrapper_.Tick();
}

void DistributionCore::Impl::Tick() {
  const TimePoint now = timers_->clock().Now();
  if (now - last_tick_ > kMaxPause + kTickPeriod) {
    logger_->Warning(
        "loop_paused",
        {{"ms",
          int64_t{std::chrono::duration_cast<Milliseconds>(now - last_tick_)
                      .count()}}});
    registry_sync_.RetractSuspicions();
    link_manager_.ResetSilenceTimers();
  }
  last_tick_ = now;
  registry_sync_.Expire();
  if (now - last_expiry_ > kExpiryPeriod) {
    last_expiry_ = now;
    registry_.Expire();
    peer_versions_.Expire(timers_->clock().WallMillis());
    OnRegistryChange();
  }
  link_manager_.Refresh();
  link_manager_.Tick(joined());
  bootstrapper_.Tick();
  snapshot_server_.Tick();
  UpdateWatcherRole();
  table_restorer_.Tick(joined() && IsDesignatedWatcher(), RestoreDelay());
  seed_list_updater_.Tick(
      links_.up_count() == 0,
      IsDesignatedWatcher() && (joined() || IsStoreOutdated()));
  departure_store_.Tick();
  FetchTableWhileJoining();
  EvaluateTable();
}

void DistributionCore::Impl::SendHeartbeats() {
  const HeartbeatMessage heartbeat{
      joined(), joined() ? table_sync_.in_force()->version() : 0,
      registry_.digests().whole(), OwnWatchState()};
  const Message message = heartbeat;
  const std::string frame = MessageCodec::Encode(message);
  for (LinkState* link : links_.Up()) {
    links_.SendFrame(link, message.index(), frame);
  }
}

bool DistributionCore::Impl::IsDesignatedWatcher() const {
  return settings_.watch_on_every_node ||
         link_manager_.overlay().data_centre_rank < Overlay::kGateways ||
         link_manager_.IsStandbyWatcherNeeded();
}

void DistributionCore::Impl::UpdateWatcherRole() {
  const bool standby_watcher =
      !settings_.watch_on_every_node && link_manager_.IsStandbyWatcherNeeded();
  if (standby_watcher != is_standby_watcher_) {
    is_standby_watcher_ = standby_watcher;
    logger_->Info(
        "speaker_substitute",
        {{"active", standby_watcher},
         {"rank", link_manager_.overlay().data_centre_rank},
         {"failing_watchers",
          static_cast<uint64_t>(link_manager_.CountFailingWatchers())},
         {"quiet_ms", int64_t{LinkState::kUnresponsiveAfter.count()}}});
  }
  // A standby watcher has already waited for the designated watchers.
  Milliseconds delay{0};
  if (!settings_.watch_on_every_node && !standby_watcher) {
    const bool is_second = link_manager_.overlay().data_centre_rank != 0;
    delay = settings_.region == settings_.store_region
                ? Milliseconds(is_second ? 150 : 0)
                : Milliseconds(is_second ? 800 : 400);
  }
  // A node without a table watches too, because the version returned by the
  // probe may be invalid. No node watches right after its start: its registry
  // then contains only itself, so it would count as a designated watcher, and
  // its watch would wait at the store for 30 s. A restart of all nodes would
  // thus exceed the store's limit of 2,000 calls.
  const bool grace_period_over =
      settings_.watch_on_every_node ||
      timers_->clock().Now() - bootstrapper_.started() > kWatcherGracePeriod;
  table_watcher_.SetActive(
      IsDesignatedWatcher() && grace_period_over &&
          (joined() || table_sync_.floor().has_store_version()),
      standby_watcher, delay);
}

void DistributionCore::Impl::OnWatchServedChanged() {
  logger_->Info("store_watch",
                {{"failing", table_watcher_.is_failing()},
                 {"served", table_watcher_.is_served()},
                 {"rank", link_manager_.overlay().data_centre_rank}});
  // Standby watchers learn of it before the next regular heartbeat.
  SendHeartbeats();
}

StoreWatchState DistributionCore::Impl::OwnWatchState() const {
  if (table_watcher_.is_failing()) {
    return StoreWatchState::kFailing;
  }
  return is_standby_watcher_ && table_watcher_.is_served()
             ? StoreWatchState::kServedStandby
             : StoreWatchState::kDefault;
}

void DistributionCore::Impl::EvaluateTable() {
  size_t known_peers = 0;
  if (!joined()) {
    // Dead nodes are included: if this node restarted on the isolated side of a
    // partition, all nodes that could report its last version may be considered
    // dead there.
    known_peers = static_cast<size_t>(std::count_if(
                      registry_.entries().begin(), registry_.entries().end(),
                      [](const auto& item) {
                        return item.second->state != TargetState::kLeft;
                      })) -
                  1;
  }
  table_sync_.Evaluate(table_sync_.floor().IsKnown(
      IsStoreVersionSufficient() && !IsStoreOutdated(), known_peers,
      bootstrapper_.synced() && link_manager_.AllNeighboursContacted()));
  PublishNewestVersion();
}

bool DistributionCore::Impl::IsStoreOutdated() const {
  return table_sync_.floor().has_store_version() &&
         table_restorer_.IsFromCopy(table_sync_.floor().store_version()) &&
         timers_->clock().Now() - store_responded_at_ < kCopyGracePeriod;
}

bool DistributionCore::Impl::HoldsNewestTable() const {
  bool has_peer = false;
  for (const auto& [id, link] : links_.links()) {
    if (!link.up) {
      continue;
    }
    if (link.version > table_sync_.held_version()) {
      return false;
    }
    has_peer |= !link.IsUnresponsive(timers_->clock().Now());
  }
  // A node without links to other live nodes has no reports of their versions.
  return has_peer ||
         std::none_of(registry_.entries().begin(), registry_.entries().end(),
                      [&](const auto& item) {
                        return item.first != settings_.node_id &&
                               item.second->IsLive();
                      });
}

Milliseconds DistributionCore::Impl::RestoreDelay() const {
  const size_t rank =
      std::min(link_manager_.overlay().region_rank, kMaxRestoreRank) +
      (settings_.region == settings_.store_region ? 0 : kMaxRestoreRank + 1);
  return kRestoreRankDelay * static_cast<int64_t>(rank);
}

bool DistributionCore::Impl::IsStoreVersionSufficient() const {
  if (!store_.era() ||
      (table_sync_.floor().has_store_version() &&
       timers_->clock().Now() - store_responded_at_ > kPeerResponseTimeout)) {
    return true;
  }
  bool all_hellos_received = true;
  for (const auto& [id, link] : links_.links()) {
    if (link.up && link.hello_received && link.in_force) {
      return true;
    }
    all_hellos_received = all_hellos_received && link.up && link.hello_received;
  }
  const bool peers_found =
      !links_.links().empty() || !bootstrapper_.HasUndialled();
  return seed_list_updater_.has_response() && peers_found &&
         all_hellos_received;
}

void DistributionCore::Impl::FetchTableWhileJoining() {
  if (joined() || !table_sync_.floor().has_store_version() ||
      table_sync_.held_version() >=
          std::max(TableVersion{1}, table_sync_.floor().value()) ||
      table_sync_.floor().value() <= table_sync_.refused()) {
    return;
  }
  const auto elapsed = timers_->clock().Now() - bootstrapper_.started();
  const bool no_peer_found =
      links_.links().empty() && seed_list_updater_.has_response();
  const Milliseconds grace_period =
      IsDesignatedWatcher() ? kWatcherGracePeriod : Milliseconds(6'000);
  if (no_peer_found || settings_.watch_on_every_node ||
      (elapsed > grace_period && !bootstrapper_.snapshot_pending())) {
    table_watcher_.Fetch([this] { return !joined(); });
  }
}

void DistributionCore::Impl::OnStoreVersion(StoreVersion version) {
  table_sync_.RecordKnownVersion(version);
  if (joined()) {
    PublishNewestVersion();
    return;
  }
  if (!table_sync_.floor().has_store_version()) {
    store_responded_at_ = timers_->clock().Now();
    seed_list_updater_.OnStoreResponse();
  }
  if (version == 0) {
    table_sync_.OnTableMissing();
  } else {
    table_sync_.floor().RecordStoreVersion(version);
  }
  EvaluateTable();
}

void DistributionCore::Impl::OnStoreObject(const StoreObject& object) {
  const TableVersion refused_before = table_sync_.refused();
  table_sync_.OnStoreObject(object);
  if (table_sync_.refused() > refused_before) {
    // Nodes that do not read the store learn only from this that the version
    // exists, because a refused version is not pushed.
    for (LinkState* link : links_.Up()) {
      SendHello(link);
    }
  }
  EvaluateTable();
}

void DistributionCore::Impl::OnTableInForce() {
  // The ranks must take the nodes of the snapshot into account.
  link_manager_.Refresh();
  UpdateWatcherRole();
  PublishRoutes();
  if (table_sync_.in_force_since().size() == 1) {
    // Peers push versions only to nodes that have a table in force.
    for (LinkState* link : links_.Up()) {
      SendHello(link);
    }
  }
}

void DistributionCore::Impl::OnRegistryChange() {
  if (batch_timer_ == 0) {
    batch_timer_ = timers_->SubscribeOnce(RegistrySync::kBatchDelay,
                                          [this] { FlushBatch(); });
  }
}

void DistributionCore::Impl::FlushBatch() {
  timers_->Cancel(batch_timer_);
  batch_timer_ = 0;
  if (!registry_sync_.Flush()) {
    // The layer does not report that a queue has drained.
    OnRegistryChange();
  }
  if (!joined()) {
    return;
  }
  const TimePoint now = timers_->clock().Now();
  if (now - routes_published_at_ >= kRoutesInterval) {
    PublishRoutes();
  } else if (routes_timer_ == 0) {
    routes_timer_ = timers_->SubscribeOnce(
        std::chrono::ceil<Milliseconds>(routes_published_at_ + kRoutesInterval -
                                        now),
        [this] { PublishRoutes(); });
  }
}

void DistributionCore::Impl::PublishRoutes() {
  timers_->Cancel(routes_timer_);
  routes_timer_ = 0;
  std::shared_ptr<const RouteSnapshot> routes =
      route_builder_.Build(table_sync_.in_force(), table_sync_.newest_known());
  if (routes == published_routes_) {
    return;
  }
  routes_published_at_ = timers_->clock().Now();
  published_routes_ = std::move(routes);
  if (on_routes_) {
    on_routes_(published_routes_);
  }
}

void DistributionCore::Impl::PublishNewestVersion() {
  if (published_routes_ != nullptr &&
      published_routes_->newest_version < table_sync_.newest_known()) {
    PublishRoutes();
  }
}

bool DistributionCore::Impl::IsLive(const HostPort& peer) const {
  return std::any_of(registry_.entries().begin(), registry_.entries().end(),
                     [&](const auto& item) {
                       return item.second->IsLive() &&
                              item.second->address == peer.address &&
                              item.second->peer_port == peer.port;
                     });
}

SeedList::DataCentre DistributionCore::Impl::MakeOwnSeedEntry(
    const SeedList::DataCentre& listed) const {
  if (!joined() && (links_.up_count() > 0 || links_.dialling_count() > 0)) {
    // A joining node that has a peer, or may get one from the list, is found
    // through it.
    return listed;
  }
  SeedList::DataCentre own_seeds{settings_.region, {}};
  const auto& ranks = link_manager_.overlay().data_centre_ranks;
  const auto own_ranks = ranks.find(settings_.data_centre);
  if (own_ranks != ranks.end()) {
    for (const NodeId& id : own_ranks->second) {
      // The overlay is updated by Refresh(), so that it can name a node that
      // the registry has removed since.
      if (const RegistryEntry* entry = registry_.Find(id)) {
        own_seeds.peers.push_back(HostPort{entry->address, entry->peer_port});
      }
    }
  }
  // A listed peer without a live node in the registry may belong to another
  // partition of the fleet; it stays listed until it has been dialled.
  for (const HostPort& peer : listed.peers) {
    if (!IsLive(peer) && own_seeds.peers.size() < SeedList::kMaxPeers &&
        bootstrapper_.IsUndialled(peer)) {
      own_seeds.peers.push_back(peer);
    }
  }
  return own_seeds;
}

}  // namespace dragonflytack
