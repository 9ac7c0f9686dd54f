#include "distribution/link_manager.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "distribution/link_table.h"
#include "dragonflytack/base/logger.h"
#include "dragonflytack/base/random.h"
#include "registry/registry.h"

namespace dragonflytack {

namespace {
// A data centre of this node's region to which there was no link for this long
// is considered unreachable when region gateways are chosen.
constexpr Milliseconds kDataCentreTimeout{8'000};
// After this many consecutive failures to dial a node, the node with the next
// rank in its region is dialled too.
constexpr int kFailuresPerRank = 3;
}  // namespace

LinkManager::LinkManager(NodeId self,
                         Registry* registry,
                         LinkTable* links,
                         const Clock* clock,
                         Random* random,
                         Logger* logger,
                         std::function<void(const NodeId&)> on_unreachable)
    : self_(std::move(self)),
      registry_(registry),
      links_(links),
      clock_(clock),
      random_(random),
      logger_(logger),
      on_unreachable_(std::move(on_unreachable)),
      store_last_watched_(clock->Now()),
      higher_ranked_last_received_(clock->Now()) {}

void LinkManager::Refresh() {
  if (!registry_->TakeMembershipChanged()) {
    return;
  }
  overlay_ = Overlay::Compute(*registry_, self_);
  const TimePoint now = clock_->Now();
  for (const auto& [name, ranks] : overlay_.data_centre_ranks) {
    last_link_up_.try_emplace(name, now);
  }
  std::erase_if(dials_, [this](const auto& item) {
    const RegistryEntry* entry = registry_->Find(item.first);
    return entry == nullptr || !entry->IsLive();
  });
}

bool LinkManager::IsRingNeighbour(const NodeId& id) const {
  return overlay_.successors.contains(id) || overlay_.predecessors.contains(id);
}

bool LinkManager::HasRecentLinkTo(const std::string& data_centre) const {
  const auto found = last_link_up_.find(data_centre);
  return found != last_link_up_.end() &&
         clock_->Now() - found->second < kDataCentreTimeout;
}

bool LinkManager::IsStandbyWatcherNeeded() const {
  if (overlay_.higher_ranked.empty()) {
    return false;
  }
  const TimePoint now = clock_->Now();
  const auto rank =
      static_cast<int64_t>(overlay_.data_centre_rank - Overlay::kGateways);
  return now - higher_ranked_last_received_ > LinkState::kUnresponsiveAfter ||
         now - store_last_watched_ > kStandbyDelay + rank * kStandbyRankDelay;
}

size_t LinkManager::CountFailingWatchers() const {
  return static_cast<size_t>(
      std::count_if(overlay_.higher_ranked.begin(),
                    overlay_.higher_ranked.end(), [this](const NodeId& id) {
                      const LinkState* const link = links_->FindUp(id);
                      return link != nullptr &&
                             link->store_watch == StoreWatchState::kFailing;
                    }));
}

bool LinkManager::IsServedWatcher(const LinkState& link) const {
  if (link.store_watch != StoreWatchState::kDefault) {
    return link.store_watch == StoreWatchState::kServedStandby;
  }
  // Only designated watchers watch without a report.
  const auto ranks = overlay_.data_centre_ranks.find(link.data_centre);
  if (ranks == overlay_.data_centre_ranks.end()) {
    return false;
  }
  const auto end =
      ranks->second.begin() + static_cast<ptrdiff_t>(std::min(
                                  Overlay::kGateways, ranks->second.size()));
  return std::find(ranks->second.begin(), end, link.peer) != end;
}

void LinkManager::UpdateHigherRankedContact(bool joined) {
  if (!joined || overlay_.higher_ranked.empty()) {
    higher_ranked_last_received_ = clock_->Now();
    store_last_watched_ = clock_->Now();
    return;
  }
  for (const NodeId& id : overlay_.higher_ranked) {
    if (const LinkState* link = links_->FindUp(id)) {
      if (IsServedWatcher(*link)) {
        store_last_watched_ =
            std::max(store_last_watched_, link->last_received);
      }
      higher_ranked_last_received_ =
          std::max(higher_ranked_last_received_, link->last_received);
    }
  }
}

bool LinkManager::IsRegionGateway() const {
  return !RegionPeers().empty();
}

std::set<NodeId> LinkManager::RegionPeers() const {
  std::set<NodeId> peers;
  const RegistryEntry* own = registry_->Find(self_);
  if (own == nullptr) {
    return peers;
  }
  size_t rank = overlay_.region_rank;
  if (rank >= Overlay::kGateways) {
    // The nodes of a data centre that is cut off as a whole are not declared
    // dead, so they may hold both gateway ranks. The highest-ranked node of
    // each reachable data centre then acts as a gateway.
    if (overlay_.data_centre_rank != 0) {
      return peers;
    }
    const auto own_ranks = overlay_.region_ranks.find(*own->region);
    if (own_ranks == overlay_.region_ranks.end()) {
      return peers;
    }
    const std::vector<NodeId>& ranks = own_ranks->second;
    for (size_t i = 0; i < Overlay::kGateways; ++i) {
      const RegistryEntry* gateway =
          i < ranks.size() ? registry_->Find(ranks[i]) : nullptr;
      if (gateway != nullptr && (gateway->data_centre == own->data_centre ||
                                 HasRecentLinkTo(*gateway->data_centre))) {
        return peers;
      }
    }
    rank = 0;
  }
  for (const auto& [region, ranks] : overlay_.region_ranks) {
    if (region == *own->region || ranks.empty()) {
      continue;
    }
    size_t index = std::min(rank, ranks.size() - 1);
    peers.insert(ranks[index]);
    // The gateway of the other region may be unreachable together with its data
    // centre.
    while (true) {
      const auto dial = dials_.find(ranks[index]);
      if (dial == dials_.end() || dial->second.failures < kFailuresPerRank ||
          index + 1 >= ranks.size()) {
        break;
      }
      peers.insert(ranks[++index]);
    }
  }
  return peers;
}

void LinkManager::Tick(bool joined) {
  const TimePoint now = clock_->Now();
  UpdateHigherRankedContact(joined);
  std::set<NodeId> wanted = overlay_.successors;
  if (joined) {
    wanted.insert(overlay_.higher_ranked.begin(), overlay_.higher_ranked.end());
    wanted.insert(overlay_.region_gateways.begin(),
                  overlay_.region_gateways.end());
    wanted.merge(RegionPeers());
  } else {
    // Links to other regions wait until the node has joined. With its registry
    // still incomplete it ranks too high, so that every restarted node would
    // link to the other regions and receive their records.
    wanted.insert(overlay_.predecessors.begin(), overlay_.predecessors.end());
  }

  std::vector<LinkId> closing;
  std::vector<NodeId> failed;
  for (const auto& [id, link] : links_->links()) {
    if (!link.up) {
      if (now - link.opened > kDialTimeout) {
        closing.push_back(id);
        failed.push_back(link.peer);
      }
      continue;
    }
    if (now - link.last_received > kLinkTimeout) {
      logger_->Warning("link_silent", {{"peer", link.peer}});
      closing.push_back(id);
      if (!link.hello_received) {
        // Without a hello, the connection is considered failed.
        failed.push_back(link.peer);
      } else if (IsRingNeighbour(link.peer)) {
        probes_.insert(link.peer);
      }
      continue;
    }
    last_link_up_[link.data_centre] = now;
    // The node that dialled a link closes it, unless the peer would dial it
    // again.
    if (joined && link.outgoing && !wanted.contains(link.peer) &&
        !overlay_.predecessors.contains(link.peer) &&
        now - link.opened > kUnwantedLinkLifetime && links_->up_count() > 1) {
      closing.push_back(id);
    }
  }
  for (const LinkId id : closing) {
    links_->Close(id);
  }
  for (const NodeId& id : failed) {
    RecordDialFailure(id);
  }
  wanted.insert(probes_.begin(), probes_.end());
  for (const NodeId& id : wanted) {
    DialPeer(id);
  }
  if (overlay_.data_centre_rank < Overlay::kGateways &&
      now - last_dead_dial_ >= kDeadDialInterval) {
    last_dead_dial_ = now;
    DialOneDeadNode();
  }
}

void LinkManager::DialOneDeadNode() {
  std::vector<const RegistryEntry*> dead;
  for (const auto& [id, entry] : registry_->entries()) {
    if (entry->liveness == Liveness::kDead &&
        entry->state != TargetState::kLeft) {
      dead.push_back(entry.get());
    }
  }
  if (!dead.empty()) {
    const RegistryEntry* entry = dead[random_->Below(dead.size())];
    const HostPort address{entry->address, entry->peer_port};
    if (!links_->IsLinkedOrDialling(address)) {
      links_->Dial(address, {});
    }
  }
}

void LinkManager::DialPeer(const NodeId& id) {
  const RegistryEntry* entry = registry_->Find(id);
  if (entry == nullptr || !entry->IsLive() || id == self_) {
    probes_.erase(id);
    return;
  }
  const HostPort address{entry->address, entry->peer_port};
  if (links_->FindUp(id) != nullptr) {
    probes_.erase(id);
    return;
  }
  if (links_->IsDialling(address) || dials_[id].next_dial > clock_->Now()) {
    return;
  }
  links_->Dial(address, id);
}

void LinkManager::RecordDialFailure(const NodeId& id) {
  if (id.empty()) {
    return;
  }
  probes_.erase(id);
  DialState& dial = dials_[id];
  const Milliseconds delay = std::min(
      kMaxRedialDelay, kMinRedialDelay * (1 << std::min(dial.failures, 4)));
  ++dial.failures;
  dial.next_dial =
      clock_->Now() + delay / 2 +
      Milliseconds(static_cast<int64_t>(
          random_->Unit() * static_cast<double>(delay.count()) / 2));
  if (IsRingNeighbour(id)) {
    on_unreachable_(id);
  }
}

LinkState* LinkManager::OnLinkUp(LinkId id,
                                 const NodeRecord& peer,
                                 bool outgoing) {
  if (const LinkState* dialled = links_->Find(id)) {
    const NodeId expected = dialled->peer;
    if (expected != peer.id) {
      RecordDialFailure(expected);
    }
  }
  if (peer.id == self_) {
    links_->Close(id);
    return nullptr;
  }
  const LinkState* existing = links_->FindUp(peer.id);
  if (existing != nullptr && existing->id != id) {
    // If both nodes dialled, both keep the link that the one with the smaller
    // id dialled. A newer link from the same dialler replaces the existing one,
    // which that dialler has lost. Any newer link replaces one that has missed
    // a heartbeat.
    const bool stale =
        clock_->Now() - existing->last_received > kLinkTimeout / 2;
    const bool smaller_dials = self_ < peer.id;
    if (!stale && existing->outgoing != outgoing &&
        existing->outgoing == smaller_dials) {
      // The table may not contain this link yet, and Close() has an effect only
      // on links that it contains.
      links_->MarkUp(id, peer, outgoing);
      links_->Close(id);
      return nullptr;
    }
    links_->Close(existing->id);
  }
  dials_[peer.id] = DialState{};
  probes_.erase(peer.id);
  return links_->MarkUp(id, peer, outgoing);
}

void LinkManager::OnLinkDown(LinkId id) {
  const LinkState* link = links_->Find(id);
  if (link == nullptr) {
    return;
  }
  const NodeId peer = link->peer;
  const bool was_up = link->up;
  links_->Remove(id);
  if (!was_up) {
    RecordDialFailure(peer);
  } else if (IsRingNeighbour(peer)) {
    probes_.insert(peer);
    DialPeer(peer);
  }
}

void LinkManager::ResetSilenceTimers() {
  for (LinkState* link : links_->Up()) {
    link->last_received = clock_->Now();
  }
}

bool LinkManager::AllNeighboursContacted() const {
  std::set<NodeId> neighbours = overlay_.successors;
  neighbours.insert(overlay_.predecessors.begin(), overlay_.predecessors.end());
  return std::all_of(
      neighbours.begin(), neighbours.end(), [this](const NodeId& id) {
        const LinkState* link = links_->FindUp(id);
        const auto dial = dials_.find(id);
        return (link != nullptr && link->hello_received) ||
               (dial != dials_.end() && dial->second.failures > 0);
      });
}

}  // namespace dragonflytack
