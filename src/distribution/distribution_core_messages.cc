#include <algorithm>
#include <optional>
#include <utility>
#include <variant>

#include "distribution/distribution_core_impl.h"
#include "distribution/message_codec.h"
#include "dragonflytack/base/logger.h"
#include "dragonflytack/routing/endpoint.h"
#include "dragonflytack/table/table.h"

namespace dragonflytack {

void DistributionCore::Impl::OnLinkUp(LinkId id,
                                      const NodeRecord& peer,
                                      bool outgoing) {
  LinkState* link = link_manager_.OnLinkUp(id, peer, outgoing);
  if (link == nullptr) {
    return;
  }
  logger_->Info("link_up", {{"peer", peer.id}, {"outgoing", outgoing}});
  SendHello(link);
  registry_sync_.OnRecord(link, RecordUpdate{peer});
  registry_sync_.SendOwnSuspicion(link);
}

void DistributionCore::Impl::OnFrame(LinkId id, std::string_view frame) {
  LinkState* link = links_.Find(id);
  if (link == nullptr || !link->up) {
    return;
  }
  Failure reason;
  const std::optional<Message> message = MessageCodec::Decode(frame, &reason);
  if (!message.has_value()) {
    logger_->Error("frame_refused",
                   {{"peer", link->peer},
                    {"code", std::string(FailureCodeName(reason.code))},
                    {"reason", reason.ToString()}});
    links_.Close(id);
    return;
  }
  link->last_received = timers_->clock().Now();
  links_.CountReceived(*link, message->index(), frame.size());
  std::visit([this, link](const auto& value) { Handle(link, value); },
             *message);
  PublishNewestVersion();
}

void DistributionCore::Impl::OnLinkDown(LinkId id, const Failure& reason) {
  if (const LinkState* link = links_.Find(id)) {
    logger_->Info("link_down",
                  {{"peer", link->peer}, {"reason", reason.ToString()}});
  }
  link_manager_.OnLinkDown(id);
  EvaluateTable();
}

void DistributionCore::Impl::SendHello(LinkState* link) {
  HelloMessage hello;
  hello.in_force = joined();
  hello.version = joined() ? table_sync_.in_force()->version() : 0;
  hello.held = table_sync_.held_version();
  hello.known_version = peer_versions_.Find(link->peer);
  hello.refused = table_sync_.refused();
  if (const RegistryEntry* entry = registry_.Find(link->peer)) {
    hello.known_incarnation = entry->incarnation;
    hello.known_sequence = entry->sequence;
    if (entry->knows_departure) {
      hello.known_departure = entry->departure;
    }
  }
  links_.Send(link, hello);
}

void DistributionCore::Impl::Handle(LinkState* link,
                                    const HelloMessage& message) {
  link->hello_received = true;
  link->in_force = message.in_force;
  registry_sync_.OnKnownRevision(message.known_incarnation,
                                 message.known_sequence);
  if (message.known_departure) {
    OnKnownDeparture(link->peer, *message.known_departure);
    OnDeparturesKnown(*link);
  }
  if (message.in_force) {
    peer_versions_.Record(link->peer, message.version,
                          timers_->clock().WallMillis());
  }
  if (!joined()) {
    table_sync_.floor().RecordPeerVersion(
        link->peer, std::max(message.version, message.known_version));
    if (message.refused != 0) {
      table_sync_.floor().RecordRefusedVersion(message.refused);
    }
  }
  table_sync_.RecordKnownVersion(
      std::max(message.known_version, message.refused));
  table_sync_.OnPeerVersion(link, std::max(message.version, message.held));
  bootstrapper_.Tick();
  EvaluateTable();
}

void DistributionCore::Impl::Handle(LinkState* link,
                                    const HeartbeatMessage& message) {
  link->in_force = message.in_force;
  link->store_watch = message.store_watch;
  if (message.in_force) {
    peer_versions_.Record(link->peer, message.version,
                          timers_->clock().WallMillis());
    if (!joined()) {
      table_sync_.floor().RecordPeerVersion(link->peer, message.version);
    }
  }
  table_sync_.OnPeerVersion(link, message.version);
  // Traffic between regions is billed, so only gateways repair over such links.
  const bool may_repair = link->link_class != LinkClass::kOtherRegion ||
                          link_manager_.IsRegionGateway();
  registry_sync_.OnDigest(link, message.digest, may_repair);
}

void DistributionCore::Impl::Handle(LinkState* link,
                                    const RecordsMessage& message) {
  registry_sync_.OnRecords(link, message);
  // A snapshot contains the record of the node that joins.
  for (const RecordUpdate& update : message.records) {
    if (update.record.id == settings_.node_id) {
      OnKnownDeparture(link->peer, update.record.departure);
    }
  }
}

void DistributionCore::Impl::OnKnownDeparture(const std::string& source,
                                              const TargetRun& run) {
  const TargetRun& known = self().departure;
  if (run.empty() || !(known.empty() || known.IsEarlierThan(run))) {
    return;
  }
  logger_->Info("departure_restored",
                {{"from", source}, {"started_ms", run.started_ms}});
  SetDeparture(run);
  if (on_departure_) {
    on_departure_(run);
  }
}

void DistributionCore::Impl::OnDeparturesKnown(const LinkState& link) {
  if (std::exchange(peer_knows_departures_, true)) {
    return;
  }
  logger_->Info(
      "departures_known",
      {{"from", link.peer}, {"started_ms", self().departure.started_ms}});
  if (on_departure_status_) {
    on_departure_status_();
  }
}

void DistributionCore::Impl::Handle(LinkState* link,
                                    const SuspicionsMessage& message) {
  registry_sync_.OnSuspicions(link, message);
}

void DistributionCore::Impl::Handle(LinkState* link,
                                    const DeltaMessage& message) {
  table_sync_.OnDelta(link, message);
}

void DistributionCore::Impl::Handle(LinkState* link,
                                    const HeldVersionMessage& message) {
  if (link->in_force) {
    // The peer puts this version in force next, and may restart before it sends
    // a heartbeat with it.
    peer_versions_.Record(link->peer, message.version,
                          timers_->clock().WallMillis());
  }
  table_sync_.OnPeerVersion(link, message.version);
}

void DistributionCore::Impl::Handle(LinkState* link,
                                    const TableRequestMessage& message) {
  table_sync_.OnRequest(link, message);
}

void DistributionCore::Impl::Handle(LinkState* link,
                                    const TableMessage& message) {
  table_sync_.OnTable(link, message);
}

void DistributionCore::Impl::Handle(LinkState* link,
                                    const SnapshotRequestMessage&) {
  snapshot_server_.OnRequest(link);
}

void DistributionCore::Impl::Handle(LinkState* link,
                                    const SnapshotEndMessage&) {
  if (bootstrapper_.OnSnapshotEnd(link)) {
    link_manager_.Refresh();
    link_manager_.Tick(joined());
    EvaluateTable();
  }
}

void DistributionCore::Impl::Handle(LinkState* link,
                                    const SnapshotReceivedMessage&) {
  snapshot_server_.Release(link->id);
}

void DistributionCore::Impl::Handle(LinkState* link,
                                    const SnapshotBusyMessage& message) {
  bootstrapper_.OnSnapshotBusy(link, message);
  bootstrapper_.Tick();
}

void DistributionCore::Impl::Handle(LinkState* link,
                                    const BucketsMessage& message) {
  registry_sync_.OnBuckets(link, message);
}

void DistributionCore::Impl::Handle(LinkState* link,
                                    const BucketHashesMessage& message) {
  registry_sync_.OnBucketHashes(link, message);
}

void DistributionCore::Impl::Handle(LinkState* link,
                                    const EntryRequestMessage& message) {
  registry_sync_.OnEntryRequest(link, message);
}

void DistributionCore::Impl::SetTarget(const std::string& service,
                                       TargetState state,
                                       int slots,
                                       const std::string& release) {
  NodeRecord changed = registry_sync_.self();
  changed.service = service;
  changed.slots = slots;
  changed.release = release;
  // A planned stop is not undone by a later announcement of the target.
  if (!draining_) {
    if (state == TargetState::kWarming &&
        changed.state != TargetState::kWarming) {
      changed.warming_since_ms = timers_->clock().WallMillis();
    }
    changed.state = state;
  }
  if (changed != registry_sync_.self()) {
    registry_sync_.UpdateSelf(std::move(changed));
    // The local target is routed to immediately; peers receive the change with
    // the next batch.
    if (started_ && joined()) {
      PublishRoutes();
    }
  }
}

void DistributionCore::Impl::SetDeparture(const TargetRun& run) {
  const TargetRun& known = self().departure;
  if (run.empty() || run == known || run.IsEarlierThan(known)) {
    return;
  }
  NodeRecord changed = registry_sync_.self();
  changed.departure = run;
  registry_sync_.UpdateSelf(std::move(changed));
  // The process may end as soon as the departure is acknowledged.
  FlushBatch();
  links_.Flush();
  departure_store_.Write(run);
}

void DistributionCore::Impl::SetRolloutRole(bool is_controller) {
  NodeRecord changed = registry_sync_.self();
  changed.rollout_shares = is_controller ? registry_.rollout_shares().All()
                                         : std::vector<RolloutShare>();
  if (changed != registry_sync_.self()) {
    registry_sync_.UpdateSelf(std::move(changed));
    FlushBatch();
  }
}

void DistributionCore::Impl::PublishShare(const RolloutShare& share) {
  registry_.MergeShare(share);
  SetRolloutRole(true);
  // A rollback must not wait for the interval between snapshots.
  if (started_ && joined()) {
    PublishRoutes();
  }
}

void DistributionCore::Impl::BeginDrain() {
  draining_ = true;
  NodeRecord changed = registry_sync_.self();
  changed.state = TargetState::kDraining;
  registry_sync_.UpdateSelf(std::move(changed));
  FlushBatch();
}

void DistributionCore::Impl::AnnounceSuccessor(const NodeId& successor) {
  draining_ = true;
  NodeRecord changed = registry_sync_.self();
  changed.state = TargetState::kLeft;
  changed.successor = successor;
  registry_sync_.UpdateSelf(std::move(changed));
  links_.StopDialling();
  FlushBatch();
}

void DistributionCore::Impl::AnnounceTakeover(const NodeId& owner,
                                              uint64_t incarnation) {
  registry_sync_.TakeOver(owner, incarnation);
  FlushBatch();
}

DistributionStatus DistributionCore::Impl::Status() const {
  DistributionStatus status;
  status.in_force = joined();
  if (joined()) {
    status.version = table_sync_.in_force()->version();
    status.table_digest = table_sync_.in_force()->digest();
  }
  status.held = table_sync_.held_table() != table_sync_.in_force()
                    ? table_sync_.held_version()
                    : 0;
  status.newest_known = table_sync_.newest_known();
  status.refused = table_sync_.last_refused();
  status.refusal = table_sync_.refusal();
  status.refusals = table_sync_.refusals();
  status.ambiguous_version = table_sync_.ambiguous_version();
  status.differing_contents = table_sync_.differing_contents();
  status.edit_time_ms = table_sync_.edit_time_ms();
  const TimePoint now = timers_->clock().Now();
  for (const auto& [id, link] : links_.links()) {
    if (link.up) {
      status.links.push_back(DistributionStatus::Link{
          id, link.peer, link.link_class, link.outgoing,
          std::chrono::duration_cast<Milliseconds>(now - link.last_received),
          link.version});
    }
  }
  status.nodes = registry_.entries().size();
  for (const auto& [id, entry] : registry_.entries()) {
    status.alive_nodes += entry->liveness == Liveness::kAlive ? 1 : 0;
    status.suspect_nodes += entry->liveness == Liveness::kSuspect ? 1 : 0;
    status.dead_nodes += entry->liveness == Liveness::kDead ? 1 : 0;
  }
  status.active_suspicions = registry_sync_.active_suspicions();
  status.designated_watcher = joined() && IsDesignatedWatcher();
  status.standby_watcher = is_standby_watcher_;
  status.last_store_contact_ms = store_.last_contact_ms();
  status.store_calls = store_.calls();
  status.snapshots_served = snapshot_server_.served();
  status.in_force_since = {table_sync_.in_force_since().begin(),
                           table_sync_.in_force_since().end()};
  return status;
}

std::optional<NodeRecord> DistributionCore::Impl::FindRecord(
    const NodeId& id) const {
  const RegistryEntry* const entry = registry_.Find(id);
  return entry == nullptr ? std::nullopt : std::optional(entry->ToRecord());
}

std::vector<Endpoint> DistributionCore::Impl::KnownNodes() const {
  std::vector<Endpoint> nodes;
  nodes.reserve(registry_.entries().size());
  for (const auto& [id, entry] : registry_.entries()) {
    nodes.push_back(Endpoint{entry->ToRecord(), entry->liveness});
  }
  return nodes;
}

}  // namespace dragonflytack
