#include "distribution/distribution_core_impl.h"

#include <algorithm>
#include <utility>

#include "distribution/message_codec.h"
#include "dragonflytack/base/logger.h"
#include "dragonflytack/routing/route_snapshot.h"
#include "dragonflytack/table/table.h"

namespace dragonflytack {

namespace {

// A joining node gives its peers this long before it turns to the store itself.
constexpr Milliseconds kSpeakerPatience{1'500};

NodeRecord OwnRecord(const Settings& settings, const Clock& clock) {
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
      records_(OwnRecord(settings, timers->clock()),
               &registry_,
               &links_,
               &timers->clock(),
               logger,
               [this] { OnRegistryChange(); }),
      table_(&links_, &timers->clock(), logger, settings.watch_on_every_node),
      link_manager_(settings.node_id,
                    &registry_,
                    &links_,
                    &timers->clock(),
                    &random_,
                    logger,
                    [this](const NodeId& id) { records_.Suspect(id); }),
      snapshots_(&registry_,
                 &records_,
                 &table_,
                 &links_,
                 &timers->clock(),
                 &random_),
      bootstrapper_(settings, &links_, &timers->clock(), &random_),
      store_(store, &timers->clock()),
      watcher_(
          &store_,
          timers,
          &random_,
          [this] { return std::max(table_.held(), table_.refused()); },
          [this](StoreVersion version) { OnStoreVersion(version); },
          [this](const StoreObject& object) {
            table_.OnStoreObject(object);
            EvaluateTable();
          }),
      seeds_(
          settings.data_centre,
          &store_,
          &timers->clock(),
          &random_,
          logger,
          [this](const SeedList::DataCentre& listed) {
            return ListOwnDataCentre(listed);
          },
          [this](const SeedList& seeds) {
            bootstrapper_.OnSeeds(
                seeds, [this](const HostPort& peer) { return IsLive(peer); });
          }),
      routes_(&registry_) {
  table_.set_on_in_force([this] { OnTableInForce(); });
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
      timers_->SubscribeEvery(kHeartbeatPeriod, [this] { Heartbeat(); });
  // Nodes of a herd do not ask the store at one instant. Callers wait
  // meanwhile, so a store that refuses the calls of a larger herd is asked
  // again later.
  probe_timer_ = timers_->SubscribeOnce(Milliseconds(random_.Below(100)),
                                        [this] { watcher_.Probe(); });
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
    records_.RetractSuspicions();
    link_manager_.ResetSilenceTimers();
  }
  last_tick_ = now;
  records_.Expire();
  if (now - last_expiry_ > kExpiryPeriod) {
    last_expiry_ = now;
    registry_.Expire();
    memory_.Expire(timers_->clock().WallMillis());
    OnRegistryChange();
  }
  link_manager_.Refresh();
  link_manager_.Tick(joined());
  bootstrapper_.Tick();
  snapshots_.Tick();
  UpdateWatcherRole();
  seeds_.Tick(links_.up_count() == 0, joined() && IsDesignatedWatcher());
  FetchWhenAlone();
  EvaluateTable();
}

void DistributionCore::Impl::Heartbeat() {
  const HeartbeatMessage heartbeat{joined(),
                                   joined() ? table_.in_force()->version() : 0,
                                   registry_.digests().whole()};
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
         {"quiet_ms", int64_t{LinkState::kUnresponsiveAfter.count()}}});
  }
  // A substitute has already waited for the speakers.
  Milliseconds delay{0};
  if (!settings_.watch_on_every_node && !standby_watcher) {
    const bool second = link_manager_.overlay().data_centre_rank != 0;
    delay = settings_.region == settings_.store_region
                ? Milliseconds(second ? 150 : 0)
                : Milliseconds(second ? 800 : 400);
  }
  // A node without a table watches too, because the version that the probe
  // named may be a bad one. No node watches at once: every starting node knows
  // only itself and would take itself for a speaker, and its watch would wait
  // at the store for 30 s. With all nodes restarted that is more than the
  // store's 2,000 calls.
  const bool waited_to_join =
      settings_.watch_on_every_node ||
      timers_->clock().Now() - bootstrapper_.started() > kSpeakerPatience;
  watcher_.SetActive(IsDesignatedWatcher() && waited_to_join &&
                         (joined() || table_.floor().store_answered()),
                     delay);
}

void DistributionCore::Impl::EvaluateTable() {
  size_t known_peers = 0;
  if (!joined()) {
    // Dead nodes count: a node that was restarted on the wrong side of a
    // partition hears that all who could name its last version are dead.
    known_peers = static_cast<size_t>(std::count_if(
                      registry_.entries().begin(), registry_.entries().end(),
                      [](const auto& item) {
                        return item.second->state != TargetState::kLeft;
                      })) -
                  1;
  }
  table_.Evaluate(table_.floor().IsKnown(
      known_peers,
      bootstrapper_.synced() && link_manager_.AllNeighboursContacted()));
}

// A joining node reads the table from the store itself when no peer can give
// it: at once when it finds no peer, else after the speakers had their time.
void DistributionCore::Impl::FetchWhenAlone() {
  if (joined() || !table_.floor().store_answered() ||
      table_.held() >= std::max(TableVersion{1}, table_.floor().value()) ||
      table_.floor().value() <= table_.refused()) {
    return;
  }
  const auto passed = timers_->clock().Now() - bootstrapper_.started();
  const bool alone = links_.links().empty() && seeds_.has_response();
  const Milliseconds patience =
      IsDesignatedWatcher() ? kSpeakerPatience : Milliseconds(6'000);
  if (alone || settings_.watch_on_every_node ||
      (passed > patience && !bootstrapper_.snapshot_pending())) {
    watcher_.Fetch([this] { return !joined(); });
  }
}

void DistributionCore::Impl::OnStoreVersion(StoreVersion version) {
  if (joined()) {
    return;
  }
  if (version == 0) {
    table_.OnNoTable();
  } else {
    table_.floor().NameByStore(version);
  }
  EvaluateTable();
}

void DistributionCore::Impl::OnTableInForce() {
  // The ranks must count the nodes that came with the snapshot.
  link_manager_.Refresh();
  UpdateWatcherRole();
  PublishRoutes();
  if (table_.in_force_since().size() == 1) {
    // Peers push versions only to those that have a table in force.
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
  records_.Flush();
  if (!joined()) {
    return;
  }
  const TimePoint now = timers_->clock().Now();
  if (now - last_routes_ >= kRoutesInterval) {
    PublishRoutes();
  } else if (routes_timer_ == 0) {
    routes_timer_ = timers_->SubscribeOnce(
        std::chrono::ceil<Milliseconds>(last_routes_ + kRoutesInterval - now),
        [this] { PublishRoutes(); });
  }
}

void DistributionCore::Impl::PublishRoutes() {
  timers_->Cancel(routes_timer_);
  routes_timer_ = 0;
  std::shared_ptr<const RouteSnapshot> built = routes_.Build(table_.in_force());
  if (built == published_) {
    return;
  }
  last_routes_ = timers_->clock().Now();
  published_ = std::move(built);
  if (on_routes_) {
    on_routes_(published_);
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

SeedList::DataCentre DistributionCore::Impl::ListOwnDataCentre(
    const SeedList::DataCentre& listed) const {
  SeedList::DataCentre wanted{settings_.region, {}};
  const auto& ranks = link_manager_.overlay().data_centre_ranks;
  const auto own = ranks.find(settings_.data_centre);
  if (own != ranks.end()) {
    for (const NodeId& id : own->second) {
      const RegistryEntry* entry = registry_.Find(id);
      wanted.peers.push_back(HostPort{entry->address, entry->peer_port});
    }
  }
  // A listed peer that is not known yet may belong to a part of the fleet that
  // this node has not met; it stays listed until it was dialled.
  for (const HostPort& peer : listed.peers) {
    if (!IsLive(peer) && wanted.peers.size() < SeedList::kMaxPeers &&
        bootstrapper_.IsUndialled(peer)) {
      wanted.peers.push_back(peer);
    }
  }
  return wanted;
}

}  // namespace dragonflytack
