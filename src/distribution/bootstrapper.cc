#include "distribution/bootstrapper.h"

#include <algorithm>
#include <tuple>

#include "distribution/link_table.h"
#include "dragonflytack/base/random.h"
#include "dragonflytack/base/settings.h"

namespace dragonflytack {

Bootstrapper::Bootstrapper(const Settings& settings,
                           LinkTable* links,
                           const Clock* clock,
                           Random* random)
    : own_address_{settings.address, settings.peer_port},
      region_(settings.region),
      data_centre_(settings.data_centre),
      links_(links),
      clock_(clock),
      random_(random),
      started_(clock->Now()) {
  for (const HostPort& seed : settings.seeds) {
    candidates_.try_emplace(seed);
  }
  candidates_.erase(own_address_);
}

void Bootstrapper::OnSeeds(
    const SeedList& seeds,
    const std::function<bool(const HostPort&)>& is_live) {
  const TimePoint now = clock_->Now();
  size_t dials = 0;

  for (const auto& [name, data_centre] : seeds.data_centres) {
    const int distance = name == data_centre_            ? 0
                         : data_centre.region == region_ ? 1
                                                         : 2;
    for (const HostPort& peer : data_centre.peers) {
      if (peer == own_address_) {
        continue;
      }
      Candidate& candidate = candidates_.try_emplace(peer).first->second;
      candidate.distance = distance;
      if (dials < kMaxLinks && candidate.next_dial <= now && !is_live(peer) &&
          !links_->IsDialling(peer)) {
        ++dials;
        candidate.next_dial = now + candidate.backoff.Next(random_);
        links_->Dial(peer, {});
      }
    }
  }
}

void Bootstrapper::OnSnapshotBusy(LinkState* link,
                                  const SnapshotBusyMessage& message) {
  link->busy_until = clock_->Now() + Milliseconds(message.retry_ms);
  if (snapshot_link_ != link->id) {
    return;
  }
  snapshot_link_ = 0;
  for (const HostPort& peer : message.alternatives) {
    if (peer != own_address_) {
      // The busy peer names the nearest nodes, so they are due immediately.
      candidates_.try_emplace(peer).first->second.next_dial = TimePoint();
    }
  }
}

bool Bootstrapper::OnSnapshotEnd(LinkState* link) {
  links_->Send(link, SnapshotReceivedMessage{});
  if (snapshot_link_ != link->id || synced_) {
    return false;
  }
  snapshot_link_ = 0;
  synced_ = true;
  return true;
}

void Bootstrapper::OnLinkRemoved(LinkId link) {
  if (snapshot_link_ == link) {
    snapshot_link_ = 0;
  }
}

bool Bootstrapper::IsUndialled(const HostPort& peer) const {
  const auto found = candidates_.find(peer);
  return found != candidates_.end() && found->second.next_dial == TimePoint();
}

bool Bootstrapper::HasUndialled() const {
  return std::any_of(
      candidates_.begin(), candidates_.end(),
      [](const auto& item) { return item.second.next_dial == TimePoint(); });
}

void Bootstrapper::Tick() {
  const bool has_links = links_->up_count() > 0;
  if (!synced_ || !has_links) {
    DialCandidates();
  }
  if (!synced_) {
    RequestSnapshot();
  }
}

void Bootstrapper::DialCandidates() {
  const TimePoint now = clock_->Now();
  size_t missing = kMaxLinks;
  for (const LinkState* link : links_->Up()) {
    // Peers that are busy or have no table in force cannot serve a snapshot.
    if (link->in_force && link->busy_until <= now && missing > 0) {
      --missing;
    }
  }
  missing -= std::min(missing, links_->dialling_count());
  std::vector<std::pair<std::tuple<int, uint64_t>, const HostPort*>> order;
  for (const auto& [address, candidate] : candidates_) {
    if (candidate.next_dial <= now && !links_->IsLinkedOrDialling(address)) {
      order.emplace_back(
          std::tuple(candidate.distance, random_->Below(1'000'000)), &address);
    }
  }
  std::sort(order.begin(), order.end());
  order.resize(std::min(order.size(), missing));
  for (const auto& [key, address] : order) {
    Candidate& candidate = candidates_[*address];
    candidate.next_dial = now + candidate.backoff.Next(random_);
    links_->Dial(*address, {});
  }
}

void Bootstrapper::RequestSnapshot() {
  const TimePoint now = clock_->Now();
  if (snapshot_link_ != 0 && now - snapshot_requested_at_ < kSnapshotTimeout) {
    return;
  }
  LinkState* best = nullptr;
  for (LinkState* link : links_->Up()) {
    const auto distance = static_cast<int>(link->link_class);
    if (!link->in_force || link->busy_until > now ||
        link->id == snapshot_link_ ||
        now - started_ < kDelayPerLinkClass * distance) {
      continue;
    }
    if (best == nullptr || link->link_class < best->link_class) {
      best = link;
    }
  }
  snapshot_link_ = 0;
  if (best != nullptr) {
    snapshot_link_ = best->id;
    snapshot_requested_at_ = now;
    links_->Send(best, SnapshotRequestMessage{});
  }
}

}  // namespace dragonflytack
