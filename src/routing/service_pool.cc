#include "routing/service_pool.h"

#include <algorithm>
#include <span>
#include <utility>

namespace dragonflytack {

namespace {

// Limit of the candidates of a tier that are compared for one call: 32 take 2
// us, and 5 us if none has room.
constexpr size_t kMaxCompared = 32;

// What a call to another data centre and to another region costs beside its
// wait: the longer way there and back, and 120 and 1,000 ms for the billed
// traffic. Without a price of the first kind calls leave the data centre for
// each target that is not known to have room, and the traffic between data
// centres is twice to three times as much.
constexpr TargetLoadModel::Microseconds kOwnRegionCost{122'500};
constexpr TargetLoadModel::Microseconds kOtherRegionsCost{1'016'000};

// Weight of the newest sample in the mean run time of the service.
constexpr double kRunTimeSmoothing = 0.02;

bool IsEligible(const Endpoint& endpoint) {
  const TargetState state = endpoint.record.state;
  return (state == TargetState::kWarming || state == TargetState::kReady) &&
         endpoint.liveness != Liveness::kDead;
}

int WeightOf(const ServiceRow& row, const std::string& region) {
  const auto found = row.weights.find(region);
  return found == row.weights.end() ? ServiceRow::kDefaultWeight
                                    : found->second;
}

bool Contains(const std::vector<ServicePool::EndpointPtr>& list,
              const ServicePool::EndpointPtr& item) {
  return std::find(list.begin(), list.end(), item) != list.end();
}

bool IsUsable(const EndpointState& state,
              double occupancy_limit,
              TimePoint now) {
  return !state.IsFull(now, occupancy_limit) && !state.IsDraining(now) &&
         !state.ejection().IsEjected(now) && !state.IsUnresponsive(now);
}

}  // namespace

ServicePool::ServicePool(const Clock* clock,
                         Random* random,
                         std::string region,
                         std::string data_centre)
    : clock_(clock),
      random_(random),
      region_(std::move(region)),
      data_centre_(std::move(data_centre)),
      retry_budget_(clock) {}

void ServicePool::Update(std::shared_ptr<const ServiceRoute> route) {
  const TimePoint now = clock_->Now();
  const int64_t wall_ms = clock_->WallMillis();
  std::unordered_map<NodeId, EndpointPtr> kept;
  sides_ = {};
  route_ = std::move(route);
  hold_end_ = TimePoint::max();
  for (const auto& [release, until] : route_->held_releases) {
    if (until > now) {
      hold_end_ = std::min(hold_end_, until);
    }
  }
  const ServiceRow& row = route_->row;
  int own_region_weight = 0;
  int max_other_weight = 0;
  for (const Endpoint& endpoint : route_->endpoints) {
    const int weight = WeightOf(row, endpoint.record.region);
    if (!IsEligible(endpoint) || weight == 0) {
      continue;
    }
    const auto found = states_.find(endpoint.record.id);
    EndpointPtr state;
    if (found == states_.end()) {
      state =
          std::make_shared<EndpointState>(endpoint, row.slots, now, wall_ms);
    } else {
      state = found->second;
      state->Update(endpoint, row.slots, now, wall_ms);
    }
    kept.emplace(endpoint.record.id, state);
    const std::optional<Side> side = SideOf(endpoint.record.release, now);
    if (!side) {
      continue;
    }
    const Tier tier = TierOf(endpoint.record);
    int& max_weight =
        tier == kOtherRegions ? max_other_weight : own_region_weight;
    max_weight = std::max(max_weight, weight);
    sides_[*side][tier].push_back(
        {std::move(state), static_cast<double>(weight)});
  }
  for (Tiers& tiers : sides_) {
    for (Candidates& tier : tiers) {
      double max_weight = 0;
      for (const Candidate& candidate : tier) {
        max_weight = std::max(max_weight, candidate.weight);
      }
      for (Candidate& candidate : tier) {
        candidate.weight /= max_weight;
      }
    }
  }
  // With equal weights all calls stay in this node's region. A region with half
  // the weight of the heaviest other one sends half of its calls to others.
  own_region_share_ =
      own_region_weight >= max_other_weight
          ? 1
          : static_cast<double>(own_region_weight) / max_other_weight;
  states_ = std::move(kept);
}

std::optional<ServicePool::Side> ServicePool::SideOf(const std::string& release,
                                                     TimePoint now) const {
  const RolloutShare& rollout = route_->rollout;
  if (!rollout.release.empty() && release == rollout.release) {
    return kNewRelease;
  }
  const auto held = route_->held_releases.find(release);
  return held != route_->held_releases.end() && held->second > now
             ? std::nullopt
             : std::optional(kOldRelease);
}

void ServicePool::EndHolds() {
  if (clock_->Now() >= hold_end_) {
    Update(route_);
  }
}

ServicePool::Side ServicePool::DrawSide() {
  const RolloutShare& rollout = route_->rollout;
  if (rollout.release.empty() || rollout.share == 0) {
    return kOldRelease;
  }
  return rollout.share >= RolloutShare::kFull ||
                 random_->Below(RolloutShare::kFull) <
                     static_cast<uint64_t>(rollout.share)
             ? kNewRelease
             : kOldRelease;
}

ServicePool::Tier ServicePool::TierOf(const NodeRecord& record) const {
  if (record.region != region_) {
    return kOtherRegions;
  }
  return record.data_centre == data_centre_ ? kOwnDataCentre : kOwnRegion;
}

ServicePool::EndpointPtr ServicePool::Choose(
    const std::vector<EndpointPtr>& excluded) {
  EndHolds();
  const TimePoint now = clock_->Now();
  Side side = DrawSide();
  const Candidate* found = ChooseUsable(side, excluded, now);
  if (found == nullptr && side == kNewRelease &&
      route_->rollout.share < RolloutShare::kFull) {
    side = kOldRelease;
    found = ChooseUsable(side, excluded, now);
  }
  if (found == nullptr) {
    found = ChooseLastResort(sides_[side], excluded, now, false);
  }
  return found == nullptr ? nullptr : found->state;
}

const ServicePool::Candidate* ServicePool::ChooseUsable(
    Side side,
    const std::vector<EndpointPtr>& excluded,
    TimePoint now) {
  static constexpr Tier kNearestFirst[] = {kOwnDataCentre, kOwnRegion};
  static constexpr Tier kOtherRegionsFirst[] = {kOtherRegions, kOwnDataCentre,
                                                kOwnRegion};
  static constexpr Tier kAllTiers[] = {kOwnDataCentre, kOwnRegion,
                                       kOtherRegions};
  static constexpr Tier kOwnDataCentreOnly = kOwnDataCentre;
  const Tiers& tiers = sides_[side];
  const bool other_regions_first =
      own_region_share_ < 1 && random_->Unit() >= own_region_share_;
  for (const Tier tier : other_regions_first
                             ? std::span<const Tier>(kOtherRegionsFirst)
                             : std::span<const Tier>(kNearestFirst)) {
    if (const Candidate* found = ChooseIn(tiers[tier], excluded, 1, now)) {
      return found;
    }
    if (tier == kOwnDataCentre) {
      // An old report tells too little to leave the data centre.
      const CostedCandidate nearest =
          ChooseLeastWait(tiers, {&kOwnDataCentreOnly, 1}, 1, excluded, now);
      if (nearest.candidate != nullptr && nearest.cost <= kOwnRegionCost) {
        return nearest.candidate;
      }
    }
  }
  const Candidate* found =
      ChooseLeastWait(tiers, kAllTiers, kSpilloverOccupancy, excluded, now)
          .candidate;
  return found == nullptr && side == kNewRelease
             ? ChooseLastResort(tiers, excluded, now, true)
             : found;
}

bool ServicePool::HasRoom(const std::vector<EndpointPtr>& excluded,
                          double occupancy) const {
  const TimePoint now = clock_->Now();
  const int share = route_->rollout.share;
  return std::any_of(states_.begin(), states_.end(), [&](const auto& item) {
    const std::optional<Side> side = SideOf(item.second->record().release, now);
    return side &&
           (*side == kNewRelease ? share > 0 : share < RolloutShare::kFull) &&
           IsUsable(*item.second, occupancy, now) &&
           !Contains(excluded, item.second);
  });
}

ServicePool::EndpointPtr ServicePool::ChooseForHedge(
    const std::vector<EndpointPtr>& excluded) {
  EndHolds();
  const TimePoint now = clock_->Now();
  // A second copy of a call goes to the old release, as long as it gets calls.
  const Tiers& tiers =
      sides_[route_->rollout.share >= RolloutShare::kFull ? kNewRelease
                                                          : kOldRelease];
  bool region_has_others = false;
  for (const Tier tier : {kOwnDataCentre, kOwnRegion}) {
    if (const Candidate* found = ChooseIn(tiers[tier], excluded, 1, now)) {
      return found->state;
    }
    for (const Candidate& candidate : tiers[tier]) {
      region_has_others |= !Contains(excluded, candidate.state);
    }
  }
  const Candidate* found =
      region_has_others ? nullptr
                        : ChooseIn(tiers[kOtherRegions], excluded, 1, now);
  return found == nullptr ? nullptr : found->state;
}

const ServicePool::Candidate* ServicePool::ChooseIn(
    const Candidates& tier,
    const std::vector<EndpointPtr>& excluded,
    double occupancy_limit,
    TimePoint now) {
  if (tier.empty()) {
    return nullptr;
  }
  // The warm candidates with room from a random position on, with their weights
  // in this choice, and the cold ones with their warm-up weights.
  std::array<std::pair<const Candidate*, double>, kMaxCompared> warm;
  std::array<std::pair<const Candidate*, double>, kMaxCompared> cold;
  size_t warm_count = 0;
  size_t cold_count = 0;
  double warm_total = 0;
  double usable_total = 0;
  const bool probe = random_->Below(kProbeOneIn) == 0;
  const size_t start = random_->Below(tier.size());
  const size_t compared = std::min(tier.size(), kMaxCompared);
  for (size_t i = 0; i < compared; ++i) {
    const Candidate& candidate = tier[(start + i) % tier.size()];
    const EndpointState& state = *candidate.state;
    if (!IsUsable(state, occupancy_limit, now) ||
        Contains(excluded, candidate.state)) {
      continue;
    }
    usable_total += candidate.weight;
    const bool has_room =
        probe ? state.HasRoomWithoutFailures(now) : state.HasRoom(now);
    const double warm_up = state.WarmUpWeight(now);
    if (has_room && warm_up < 1) {
      cold[cold_count++] = {&candidate, candidate.weight * warm_up};
    } else if (has_room) {
      const double weight =
          candidate.weight * (probe ? 1 : state.Weight(now, usual_run_time_));
      warm[warm_count++] = {&candidate, weight};
      warm_total += weight;
    }
  }
  // A cold candidate gets its part of an even share, also if no other one has
  // room. Otherwise it would get most calls of a full pool.
  for (size_t i = 0; i < cold_count; ++i) {
    if (random_->Unit() * usable_total < cold[i].second) {
      return cold[i].first;
    }
  }
  if (warm_count == 0) {
    return nullptr;
  }
  size_t chosen = 0;
  double at = random_->Unit() * warm_total - warm[0].second;
  while (at >= 0 && chosen + 1 < warm_count) {
    at -= warm[++chosen].second;
  }
  return warm[chosen].first;
}

ServicePool::CostedCandidate ServicePool::ChooseLeastWait(
    const Tiers& tiers,
    std::span<const Tier> compared_tiers,
    double near_occupancy_limit,
    const std::vector<EndpointPtr>& excluded,
    TimePoint now) {
  using Microseconds = TargetLoadModel::Microseconds;
  static constexpr std::array<Microseconds, kTierCount> kDistances = {
      Microseconds(0), kOwnRegionCost, kOtherRegionsCost};
  CostedCandidate best;
  for (const Tier tier : compared_tiers) {
    const Candidates& candidates = tiers[tier];
    const double occupancy_limit =
        tier == kOtherRegions ? 1 : near_occupancy_limit;
    const size_t compared = std::min(candidates.size(), kMaxCompared);
    const size_t start =
        candidates.empty() ? 0 : random_->Below(candidates.size());
    for (size_t i = 0; i < compared; ++i) {
      const Candidate& candidate = candidates[(start + i) % candidates.size()];
      const EndpointState& state = *candidate.state;
      if (!IsUsable(state, occupancy_limit, now) ||
          state.WarmUpWeight(now) < 1 || Contains(excluded, candidate.state) ||
          (candidate.weight < 1 && random_->Unit() >= candidate.weight)) {
        continue;
      }
      const Microseconds cost =
          kDistances[tier] + state.Cost(now, usual_run_time_);
      if (best.candidate == nullptr || cost < best.cost) {
        best = {&candidate, cost};
      }
    }
  }
  return best;
}

const ServicePool::Candidate* ServicePool::ChooseLastResort(
    const Tiers& tiers,
    const std::vector<EndpointPtr>& excluded,
    TimePoint now,
    bool must_be_usable) {
  // Order of preference: cold, full, ejected or unresponsive, draining. A cold
  // candidate is taken from the nearest tier that has one; in the other ranks
  // the lowest cost of all tiers wins, and the nearer tier if costs are equal.
  const Candidate* best = nullptr;
  int best_rank = 0;
  TargetLoadModel::Microseconds best_cost{0};
  uint64_t usable = 1;
  for (const Candidates& tier : tiers) {
    for (const Candidate& candidate : tier) {
      const EndpointState& state = *candidate.state;
      if (Contains(excluded, candidate.state)) {
        continue;
      }
      int rank = 0;
      if (state.IsDraining(now)) {
        rank = 3;
      } else if (state.ejection().IsEjected(now) || state.IsUnresponsive(now)) {
        rank = 2;
      } else if (state.IsFull(now)) {
        rank = 1;
      }
      if (must_be_usable && rank != 0) {
        continue;
      }
      const TargetLoadModel::Microseconds cost =
          state.Cost(now, usual_run_time_);
      // The usable candidates that are left are cold. Each of them is chosen
      // with the same probability.
      const bool better =
          best == nullptr || rank < best_rank ||
          (rank == best_rank &&
           (rank == 0 ? random_->Below(++usable) == 0 : cost < best_cost));
      if (better) {
        best = &candidate;
        best_rank = rank;
        best_cost = cost;
      }
    }
    if (best != nullptr && best_rank == 0) {
      break;
    }
  }
  return best;
}

bool ServicePool::OnAttemptEnded(EndpointState* endpoint,
                                 AttemptOutcome outcome,
                                 std::chrono::nanoseconds latency) {
  const TimePoint now = clock_->Now();
  endpoint->OnAttemptEnded(outcome, latency, now, usual_run_time_);
  if (outcome == AttemptOutcome::kSuccess) {
    const TargetLoadModel::Microseconds sample(latency);
    usual_run_time_ =
        usual_run_time_ == TargetLoadModel::Microseconds::zero()
            ? sample
            : usual_run_time_ + kRunTimeSmoothing * (sample - usual_run_time_);
  }
  if (!endpoint->ejection().Record(outcome)) {
    return false;
  }
  if (endpoint->ejection().IsEjected(now)) {
    return false;
  }
  size_t ejected = 0;
  for (const auto& [id, state] : states_) {
    ejected += state->ejection().IsEjected(now) ? 1 : 0;
  }
  // At most half of the pool is ejected: if most targets fail, the cause is
  // elsewhere and ejection would only overload the rest. This does not apply to
  // a host that accepts no connections, because it cannot serve any call.
  if (outcome != AttemptOutcome::kUnreachable &&
      2 * (ejected + 1) > states_.size()) {
    return false;
  }
  endpoint->ejection().Eject(now);
  return true;
}

}  // namespace dragonflytack
