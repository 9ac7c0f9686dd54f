#include "registry/registry.h"

#include <tuple>

#include "dragonflytack/base/clock.h"
#include "dragonflytack/base/hash.h"

namespace dragonflytack {

namespace {

void AppendNumber(std::string* bytes, uint64_t number) {
  for (int shift = 0; shift < 64; shift += 8) {
    bytes->push_back(static_cast<char>(number >> shift));
  }
}

uint64_t HashOfEntry(const RegistryEntry& entry) {
  std::string bytes = entry.id;
  AppendNumber(&bytes, entry.incarnation);
  AppendNumber(&bytes, entry.sequence);
  // A suspicion is temporary, so only a death is part of the digest.
  bytes.push_back(entry.liveness == Liveness::kDead ? 1 : 0);
  return Hash64(bytes);
}

}  // namespace

NodeRecord RegistryEntry::ToRecord() const {
  return NodeRecord{
      id,
      incarnation,
      sequence,
      *region,
      *data_centre,
      address,
      peer_port,
      mesh_port,
      admin_port,
      *service,
      state,
      warming_since_ms,
      slots,
      *successor,
      *release,
      rollout_shares == nullptr ? std::vector<RolloutShare>() : *rollout_shares,
      departure};
}

Registry::Registry(const Clock* clock) : clock_(clock) {}

MergeOutcome Registry::Merge(const NodeRecord& record,
                             Liveness liveness,
                             int64_t ended_ago_ms) {
  const auto found = entries_.find(record.id);
  RegistryEntry* entry = nullptr;
  if (found == entries_.end()) {
    if (ended_ago_ms >= kRetentionMs) {
      return MergeOutcome::kOlder;
    }
    auto made = std::make_unique<RegistryEntry>();
    made->id = record.id;
    made->bucket = BucketOf(record.id);
    entry = made.get();
    entries_.emplace(entry->id, std::move(made));
    Assign(entry, record);
    // Only the failure detector marks a node as suspected.
    entry->liveness =
        liveness == Liveness::kDead ? Liveness::kDead : Liveness::kAlive;
    membership_changed_ = true;
    locations_changed_ = true;
  } else {
    entry = found->second.get();
    const auto current = std::tie(entry->incarnation, entry->sequence);
    const auto received = std::tie(record.incarnation, record.sequence);
    if (received <= current) {
      return received == current ? MergeOutcome::kSame : MergeOutcome::kOlder;
    }
    digests_.Remove(entry->bucket, entry->hash);
    const bool was_live = entry->IsLive();
    locations_changed_ |= entry->incarnation != record.incarnation ||
                          entry->liveness != Liveness::kAlive ||
                          entry->address != record.address ||
                          entry->mesh_port != record.mesh_port;
    changed_services_.insert(*entry->service);
    membership_changed_ |= *entry->data_centre != record.data_centre;
    Assign(entry, record);
    entry->liveness = Liveness::kAlive;
    if (was_live != entry->IsLive()) {
      membership_changed_ = true;
      locations_changed_ = true;
    }
  }
  changed_services_.insert(record.service);
  Rehash(entry, ended_ago_ms);
  if (!record.successor.empty()) {
    MergeSuccession(Succession{record.id, record.incarnation, record.successor,
                               1, clock_->WallMillis()});
  }
  return MergeOutcome::kNewer;
}

bool Registry::SetLiveness(const NodeId& id,
                           uint64_t incarnation,
                           uint64_t sequence,
                           Liveness liveness) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) {
    return false;
  }
  RegistryEntry* entry = found->second.get();
  if (!entry->HasRevision(incarnation, sequence) ||
      entry->liveness == liveness) {
    return false;
  }
  digests_.Remove(entry->bucket, entry->hash);
  const bool was_live = entry->IsLive();
  entry->liveness = liveness;
  Rehash(entry, 0);
  membership_changed_ |= was_live != entry->IsLive();
  locations_changed_ = true;
  changed_services_.insert(*entry->service);
  return true;
}

bool Registry::MergeSuccession(const Succession& succession) {
  if (clock_->WallMillis() - succession.since_ms >= kRetentionMs) {
    return false;
  }
  const uint8_t bucket = BucketOf(succession.owner);
  const auto [position, is_new] = successions_.try_emplace(
      std::pair(succession.owner, succession.incarnation), succession);
  if (!is_new) {
    Succession& current = position->second;
    if (std::tie(succession.generation, succession.successor) <=
        std::tie(current.generation, current.successor)) {
      return false;
    }
    digests_.Remove(bucket, HashOf(current));
    current = succession;
  }
  digests_.Add(bucket, HashOf(succession));
  locations_changed_ = true;
  return true;
}

const Succession* Registry::FindSuccession(const NodeId& owner,
                                           uint64_t incarnation) const {
  const auto found = successions_.find(std::pair(owner, incarnation));
  return found == successions_.end() ? nullptr : &found->second;
}

void Registry::Expire() {
  const int64_t oldest = clock_->WallMillis() - kRetentionMs;
  for (auto it = entries_.begin(); it != entries_.end();) {
    const RegistryEntry& entry = *it->second;
    if (entry.ended_ms == 0 || entry.ended_ms > oldest) {
      ++it;
      continue;
    }
    digests_.Remove(entry.bucket, entry.hash);
    changed_services_.insert(*entry.service);
    locations_changed_ = true;
    // The key refers to the id in the entry, so the entry has to outlive its
    // map node.
    const std::unique_ptr<RegistryEntry> removed = std::move(it->second);
    it = entries_.erase(it);
  }
  std::erase_if(successions_, [this, oldest](const auto& item) {
    if (item.second.since_ms > oldest) {
      return false;
    }
    digests_.Remove(BucketOf(item.second.owner), HashOf(item.second));
    locations_changed_ = true;
    return true;
  });
}

const RegistryEntry* Registry::Find(std::string_view id) const {
  const auto found = entries_.find(id);
  return found == entries_.end() ? nullptr : found->second.get();
}

uint64_t Registry::HashOf(const Succession& succession) {
  std::string bytes = succession.owner;
  AppendNumber(&bytes, succession.incarnation);
  AppendNumber(&bytes, succession.generation);
  return Hash64(bytes + succession.successor, 1);
}

uint8_t Registry::BucketOf(std::string_view id) {
  return static_cast<uint8_t>(Hash64(id));
}

std::set<std::string> Registry::TakeChangedServices() {
  return std::exchange(changed_services_, {});
}

bool Registry::TakeLocationsChanged() {
  return std::exchange(locations_changed_, false);
}

bool Registry::TakeMembershipChanged() {
  return std::exchange(membership_changed_, false);
}

void Registry::Assign(RegistryEntry* entry, const NodeRecord& record) {
  entry->address = record.address;
  entry->incarnation = record.incarnation;
  entry->sequence = record.sequence;
  entry->region = pool_.Intern(record.region);
  entry->data_centre = pool_.Intern(record.data_centre);
  entry->service = pool_.Intern(record.service);
  entry->successor = pool_.Intern(record.successor);
  entry->warming_since_ms = record.warming_since_ms;
  entry->slots = record.slots;
  entry->peer_port = record.peer_port;
  entry->mesh_port = record.mesh_port;
  entry->admin_port = record.admin_port;
  entry->state = record.state;
  entry->release = pool_.Intern(record.release);
  if (!record.departure.empty()) {
    entry->departure = record.departure;
  }
  entry->knows_departure |= !record.departure.empty() ||
                            record.state == TargetState::kWarming ||
                            record.state == TargetState::kReady;
  entry->rollout_shares =
      record.rollout_shares.empty()
          ? nullptr
          : std::make_shared<const std::vector<RolloutShare>>(
                record.rollout_shares);
  for (const RolloutShare& share : record.rollout_shares) {
    MergeShare(share);
  }
}

void Registry::MergeShare(const RolloutShare& share) {
  if (rollout_shares_.Merge(share)) {
    changed_services_.insert(share.service);
  }
}

void Registry::Rehash(RegistryEntry* entry, int64_t ended_ago_ms) {
  entry->ended_ms = entry->IsLive() ? 0 : clock_->WallMillis() - ended_ago_ms;
  entry->hash = HashOfEntry(*entry);
  digests_.Add(entry->bucket, entry->hash);
}

}  // namespace dragonflytack
