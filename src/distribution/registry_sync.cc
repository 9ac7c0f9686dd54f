#include "distribution/registry_sync.h"

#include <algorithm>
#include <map>
#include <unordered_set>
#include <utility>

#include "distribution/link_table.h"
#include "distribution/message_codec.h"
#include "dragonflytack/base/logger.h"

namespace dragonflytack {

namespace {

uint64_t SecondsSince(int64_t since_ms, int64_t now_ms) {
  // Rounded up, so that an age never decreases as it is forwarded.
  return since_ms == 0
             ? 0
             : static_cast<uint64_t>(
                   (std::max<int64_t>(now_ms - since_ms, 0) + 999) / 1000);
}

}  // namespace

RegistrySync::RegistrySync(NodeRecord self,
                           Registry* registry,
                           LinkTable* links,
                           const Clock* clock,
                           Logger* logger,
                           std::function<void()> on_change)
    : self_(std::move(self)),
      registry_(registry),
      links_(links),
      clock_(clock),
      logger_(logger),
      on_change_(std::move(on_change)),
      detector_(registry, clock) {
  registry_->Merge(self_, Liveness::kAlive, 0);
}

void RegistrySync::UpdateSelf(NodeRecord changed) {
  changed.incarnation = self_.incarnation;
  changed.sequence = self_.sequence + 1;
  self_ = std::move(changed);
  PublishSelf();
}

void RegistrySync::TakeOver(const NodeId& owner, uint64_t incarnation) {
  const Succession* known = registry_->FindSuccession(owner, incarnation);
  const bool is_own = known != nullptr && known->successor == self_.id;
  const Succession succession{
      owner, incarnation, self_.id,
      known == nullptr ? 1 : known->generation + (is_own ? 0 : 1),
      clock_->WallMillis()};
  taken_over_.try_emplace(std::pair(owner, incarnation), false);
  if (registry_->MergeSuccession(succession)) {
    FloodSuccession(succession, nullptr);
    on_change_();
  }
}

void RegistrySync::Suspect(const NodeId& id) {
  const RegistryEntry* entry = registry_->Find(id);
  if (entry == nullptr || id == self_.id) {
    return;
  }
  const Suspicion suspicion{id, entry->incarnation, entry->sequence};
  if (detector_.Suspect(suspicion)) {
    logger_->Warning(
        "node_suspected",
        {{"peer", id},
         {"from", self_.id},
         {"cause", "its link is silent and a new connection fails"}});
    FloodSuspicion(suspicion, nullptr);
    on_change_();
  }
}

void RegistrySync::Expire() {
  for (const Suspicion& dead : detector_.Expire(links_->up_count() == 0)) {
    logger_->Warning("node_dead",
                     {{"peer", dead.id},
                      {"cause", "the suspicion was not refuted in time"}});
    on_change_();
  }
}

void RegistrySync::RetractSuspicions() {
  if (detector_.size() > 0) {
    detector_.RetractAll();
    on_change_();
  }
}

void RegistrySync::OnRecord(LinkState* from, const RecordUpdate& update) {
  const NodeRecord& record = update.record;
  if (record.id == self_.id) {
    OnKnownRevision(record.incarnation, record.sequence);
    if (update.liveness != Liveness::kAlive &&
        record.CompareRevision(self_) == std::strong_ordering::equal) {
      UpdateSelf(self_);
    }
    if (record.CompareRevision(self_) == std::strong_ordering::less) {
      from->pending_records.insert(self_.id);
      on_change_();
    }
    return;
  }
  const Succession* before =
      registry_->FindSuccession(record.id, record.incarnation);
  const RegistryEntry* const known = registry_->Find(record.id);
  const bool is_new = known == nullptr;
  const bool was_lost = !is_new && known->liveness != Liveness::kAlive;
  const bool had_left = !is_new && known->state == TargetState::kLeft;
  const MergeOutcome outcome = registry_->Merge(
      record, update.liveness, static_cast<int64_t>(update.ended_ago_s) * 1000);
  if (outcome == MergeOutcome::kOlder) {
    if (registry_->Find(record.id) != nullptr) {
      from->pending_records.insert(record.id);
      on_change_();
    }
    return;
  }
  from->pending_records.erase(record.id);
  if (outcome == MergeOutcome::kNewer) {
    if (record.state == TargetState::kLeft) {
      if (!had_left) {
        logger_->Info("node_left",
                      {{"peer", record.id}, {"cause", "planned stop"}});
      }
    } else if (is_new && update.liveness == Liveness::kAlive) {
      logger_->Info("node_found", {{"peer", record.id}, {"from", from->peer}});
    } else if (was_lost && update.liveness == Liveness::kAlive) {
      logger_->Info("node_back",
                    {{"peer", record.id}, {"cause", "a newer record"}});
    }
    FloodRecord(record.id, from);
    on_change_();
    const Succession* after =
        registry_->FindSuccession(record.id, record.incarnation);
    if (after != before && after != nullptr) {
      FloodSuccession(*after, from);
    }
  }
  if (update.liveness != Liveness::kAlive) {
    // A reported death is treated as a suspicion: the sender may have been cut
    // off, and the node can still refute it.
    OnSuspicions(from, SuspicionsMessage{{Suspicion{
                           record.id, record.incarnation, record.sequence}}});
  }
}

void RegistrySync::OnRecords(LinkState* from, const RecordsMessage& message) {
  for (const RecordUpdate& update : message.records) {
    OnRecord(from, update);
  }
  const int64_t now = clock_->WallMillis();
  for (const SuccessionUpdate& update : message.successions) {
    Succession succession = update.succession;
    succession.since_ms = now - static_cast<int64_t>(update.age_s) * 1000;
    const std::pair key(succession.owner, succession.incarnation);
    if (!registry_->MergeSuccession(succession)) {
      from->pending_successions.erase(key);
      continue;
    }
    FloodSuccession(succession, from);
    on_change_();
    const auto taken_over = taken_over_.find(key);
    if (succession.successor != self_.id && taken_over != taken_over_.end() &&
        !taken_over->second && self_.state != TargetState::kLeft) {
      // This node announced its takeover before it received this succession,
      // and thus with too low a generation.
      taken_over->second = true;
      TakeOver(succession.owner, succession.incarnation);
    }
  }
}

void RegistrySync::OnSuspicions(LinkState* from,
                                const SuspicionsMessage& message) {
  for (const Suspicion& suspicion : message.suspicions) {
    if (suspicion.id == self_.id) {
      if (suspicion.incarnation == self_.incarnation &&
          suspicion.sequence == self_.sequence) {
        logger_->Info("suspicion_refuted", {{"peer", from->peer}});
        UpdateSelf(self_);
      }
      continue;
    }
    const RegistryEntry* entry = registry_->Find(suspicion.id);
    if (entry == nullptr) {
      continue;
    }
    if (detector_.Suspect(suspicion)) {
      logger_->Warning("node_suspected", {{"peer", suspicion.id},
                                          {"from", from->peer},
                                          {"cause", "a peer suspects it"}});
      FloodSuspicion(suspicion, from);
      on_change_();
    } else if (std::tie(suspicion.incarnation, suspicion.sequence) <
               std::tie(entry->incarnation, entry->sequence)) {
      from->pending_records.insert(suspicion.id);
      on_change_();
    }
  }
}

void RegistrySync::OnKnownRevision(uint64_t incarnation, uint64_t sequence) {
  if (incarnation > self_.incarnation ||
      (incarnation == self_.incarnation && sequence > self_.sequence)) {
    RaiseIncarnation(incarnation);
  }
}

void RegistrySync::SendOwnSuspicion(LinkState* link) {
  const RegistryEntry* entry = registry_->Find(link->peer);
  if (entry != nullptr && entry->liveness != Liveness::kAlive) {
    links_->Send(link, SuspicionsMessage{{Suspicion{
                           entry->id, entry->incarnation, entry->sequence}}});
  }
}

void RegistrySync::OnDigest(LinkState* link,
                            const RegistryDigest& digest,
                            bool may_repair) {
  if (digest == registry_->digests().whole()) {
    link->digest_mismatches = 0;
    return;
  }
  ++link->digest_mismatches;
  const TimePoint now = clock_->Now();
  // Only the node with the smaller id starts a repair, so that it is not done
  // twice. A batch in flight explains one differing heartbeat but not two.
  if (link->digest_mismatches < 2 || !may_repair || self_.id > link->peer ||
      now - link->last_repair < kRepairInterval) {
    return;
  }
  link->last_repair = now;
  links_->Send(link, BucketsMessage{registry_->digests().buckets()});
}

void RegistrySync::OnBuckets(LinkState* link, const BucketsMessage& message) {
  std::map<uint8_t, std::vector<uint64_t>> differing;
  for (size_t i = 0; i < message.buckets.size(); ++i) {
    if (message.buckets[i] != registry_->digests().buckets()[i]) {
      differing[static_cast<uint8_t>(i)];
    }
  }
  if (differing.empty()) {
    return;
  }
  for (const auto& [id, entry] : registry_->entries()) {
    const auto found = differing.find(entry->bucket);
    if (found != differing.end()) {
      found->second.push_back(entry->hash);
    }
  }
  for (const auto& [key, succession] : registry_->successions()) {
    const auto found = differing.find(Registry::BucketOf(succession.owner));
    if (found != differing.end()) {
      found->second.push_back(Registry::HashOf(succession));
    }
  }
  links_->Send(link, BucketHashesMessage{{differing.begin(), differing.end()}});
}

void RegistrySync::OnBucketHashes(LinkState* link,
                                  const BucketHashesMessage& message) {
  std::map<uint8_t, std::unordered_set<uint64_t>> peer_hashes;
  for (const auto& [bucket, hashes] : message.buckets) {
    peer_hashes[bucket].insert(hashes.begin(), hashes.end());
  }
  // Hashes that both nodes hold are removed from `peer_hashes`; the entries of
  // the remaining ones are requested.
  SendMatching(link, [&peer_hashes](uint8_t bucket, uint64_t hash) {
    const auto found = peer_hashes.find(bucket);
    return found != peer_hashes.end() && found->second.erase(hash) == 0;
  });
  EntryRequestMessage request;
  for (const auto& [bucket, hashes] : peer_hashes) {
    request.hashes.insert(request.hashes.end(), hashes.begin(), hashes.end());
  }
  if (!request.hashes.empty()) {
    links_->Send(link, request);
  }
}

void RegistrySync::OnEntryRequest(LinkState* link,
                                  const EntryRequestMessage& message) {
  const std::unordered_set<uint64_t> wanted(message.hashes.begin(),
                                            message.hashes.end());
  SendMatching(link, [&wanted](uint8_t, uint64_t hash) {
    return wanted.contains(hash);
  });
}

bool RegistrySync::Flush() {
  bool is_complete = true;
  // Most links carry the same batch, so its frame is encoded only once.
  std::set<NodeId> encoded_ids;
  std::string frame;
  for (LinkState* link : links_->Up()) {
    if (links_->QueuedBytes(*link) > kMaxQueuedBytes) {
      is_complete &= !link->HasPendingBatch();
      continue;
    }
    if (!link->pending_suspicions.empty()) {
      links_->Send(
          link, SuspicionsMessage{std::exchange(link->pending_suspicions, {})});
    }
    if (!link->pending_successions.empty()) {
      RecordsMessage message;
      for (const auto& [owner, incarnation] : link->pending_successions) {
        if (const Succession* known =
                registry_->FindSuccession(owner, incarnation)) {
          message.successions.push_back(ToUpdate(*known));
        }
      }
      link->pending_successions.clear();
      links_->Send(link, message);
    }
    while (!link->pending_records.empty()) {
      std::set<NodeId> batch;
      while (!link->pending_records.empty() &&
             batch.size() < kMaxBatchEntries) {
        batch.insert(
            link->pending_records.extract(link->pending_records.begin()));
      }
      if (batch != encoded_ids) {
        RecordsMessage message;
        for (const NodeId& id : batch) {
          if (const RegistryEntry* entry = registry_->Find(id)) {
            message.records.push_back(ToUpdate(*entry));
          }
        }
        frame = MessageCodec::Encode(message);
        encoded_ids = std::move(batch);
      }
      links_->SendFrame(link, Message(RecordsMessage{}).index(), frame);
    }
  }
  return is_complete;
}

void RegistrySync::SendAll(LinkState* link) {
  link->pending_records.clear();
  link->pending_successions.clear();
  SendMatching(link, [](uint8_t, uint64_t) { return true; });
}

void RegistrySync::FloodRecord(const NodeId& id, const LinkState* except) {
  for (LinkState* link : links_->Up()) {
    // A node does not need its own record.
    if (link != except && link->peer != id) {
      link->pending_records.insert(id);
    }
  }
}

void RegistrySync::FloodSuspicion(const Suspicion& suspicion,
                                  const LinkState* except) {
  for (LinkState* link : links_->Up()) {
    if (link != except) {
      link->pending_suspicions.push_back(suspicion);
    }
  }
}

void RegistrySync::FloodSuccession(const Succession& succession,
                                   const LinkState* except) {
  for (LinkState* link : links_->Up()) {
    if (link != except) {
      link->pending_successions.emplace(succession.owner,
                                        succession.incarnation);
    }
  }
}

void RegistrySync::RaiseIncarnation(uint64_t above) {
  logger_->Warning("incarnation_raised", {{"above", above}});
  self_.incarnation = above + 1;
  PublishSelf();
}

void RegistrySync::PublishSelf() {
  registry_->Merge(self_, Liveness::kAlive, 0);
  FloodRecord(self_.id, nullptr);
  on_change_();
}

void RegistrySync::SendMatching(LinkState* link, const HashFilter& filter) {
  RecordsMessage chunk;
  for (const auto& [id, entry] : registry_->entries()) {
    if (filter(entry->bucket, entry->hash)) {
      chunk.records.push_back(ToUpdate(*entry));
      if (chunk.records.size() >= kMaxBatchEntries) {
        SendChunk(link, &chunk);
      }
    }
  }
  for (const auto& [key, succession] : registry_->successions()) {
    if (filter(Registry::BucketOf(succession.owner),
               Registry::HashOf(succession))) {
      chunk.successions.push_back(ToUpdate(succession));
      if (chunk.successions.size() >= kMaxBatchEntries) {
        SendChunk(link, &chunk);
      }
    }
  }
  if (!chunk.records.empty() || !chunk.successions.empty()) {
    SendChunk(link, &chunk);
  }
}

void RegistrySync::SendChunk(LinkState* link, RecordsMessage* chunk) {
  links_->Send(link, std::exchange(*chunk, {}));
}

RecordUpdate RegistrySync::ToUpdate(const RegistryEntry& entry) const {
  return RecordUpdate{entry.ToRecord(), entry.liveness,
                      SecondsSince(entry.ended_ms, clock_->WallMillis())};
}

SuccessionUpdate RegistrySync::ToUpdate(const Succession& succession) const {
  return SuccessionUpdate{
      succession, SecondsSince(succession.since_ms, clock_->WallMillis())};
}

}  // namespace dragonflytack
