#include "routing/service_pool.h"

#include <algorithm>
#include <span>
#include <utility>

namespace dragonflytack {

namespace {

// Draws for one candidate before the tier is searched in order.
constexpr int kDraws = 3;

bool MayGetCalls(const Endpoint& endpoint) {
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
         !state.ejection().IsEjected(now) && !state.IsSilent(now);
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
  const int64_t wall_millis = clock_->WallMillis();
  std::unordered_map<NodeId, EndpointPtr> kept;
  for (Candidates& tier : tiers_) {
    tier.clear();
  }
  const ServiceRow& row = route->row;
  int own_weight = 0;
  int heaviest_other = 0;
  for (const Endpoint& endpoint : route->endpoints) {
    const int weight = WeightOf(row, endpoint.record.region);
    if (!MayGetCalls(endpoint) || weight == 0) {
      continue;
    }
    const auto found = states_.find(endpoint.record.id);
    EndpointPtr state;
    if (found == states_.end()) {
      state = std::make_shared<EndpointState>(endpoint, row.slots, now,
                                              wall_millis);
    } else {
      state = found->second;
      state->Update(endpoint, row.slots, now, wall_millis);
    }
    kept.emplace(endpoint.record.id, state);
    const Tier tier = TierOf(endpoint.record);
    int& heaviest = tier == kOtherRegions ? heaviest_other : own_weight;
    heaviest = std::max(heaviest, weight);
    tiers_[tier].push_back({std::move(state), static_cast<double>(weight)});
  }
  for (Candidates& tier : tiers_) {
    double heaviest = 0;
    for (const Candidate& candidate : tier) {
      heaviest = std::max(heaviest, candidate.weight);
    }
    for (Candidate& candidate : tier) {
      candidate.weight /= heaviest;
    }
  }
  // Equal weights keep all calls near. A region that was given half the weight
  // of another one sends half of its calls away.
  own_share_ = own_weight >= heaviest_other
                   ? 1
                   : static_cast<double>(own_weight) / heaviest_other;
  states_ = std::move(kept);
  route_ = std::move(route);
}

ServicePool::Tier ServicePool::TierOf(const NodeRecord& record) const {
  if (record.region != region_) {
    return kOtherRegions;
  }
  return record.data_centre == data_centre_ ? kOwnDataCentre : kOwnRegion;
}

ServicePool::EndpointPtr ServicePool::Choose(
    const std::vector<EndpointPtr>& excluded) {
  struct Step {
    Tier tier;
    double occupancy_limit;
  };
  static constexpr Step kNearFirst[] = {{kOwnDataCentre, 1},
                                        {kOwnRegion, 1},
                                        {kOwnDataCentre, kOccupancyToLeave},
                                        {kOwnRegion, kOccupancyToLeave},
                                        {kOtherRegions, 1}};
  static constexpr Step kFarFirst[] = {
      {kOtherRegions, 1}, {kOwnDataCentre, 1}, {kOwnRegion, 1}};
  const TimePoint now = clock_->Now();
  const bool far_first = own_share_ < 1 && random_->Unit() >= own_share_;
  for (const Step& step : far_first ? std::span<const Step>(kFarFirst)
                                    : std::span<const Step>(kNearFirst)) {
    if (const Candidate* found =
            ChooseIn(tiers_[step.tier], excluded, step.occupancy_limit, now)) {
      return found->state;
    }
  }
  const Candidate* found = LastResort(excluded, now);
  return found == nullptr ? nullptr : found->state;
}

ServicePool::EndpointPtr ServicePool::ChooseSecond(
    const std::vector<EndpointPtr>& excluded) {
  const TimePoint now = clock_->Now();
  bool region_has_others = false;
  for (const Tier tier : {kOwnDataCentre, kOwnRegion}) {
    if (const Candidate* found = ChooseIn(tiers_[tier], excluded, 1, now)) {
      return found->state;
    }
    for (const Candidate& candidate : tiers_[tier]) {
      region_has_others |= !Contains(excluded, candidate.state);
    }
  }
  const Candidate* found =
      region_has_others ? nullptr
                        : ChooseIn(tiers_[kOtherRegions], excluded, 1, now);
  return found == nullptr ? nullptr : found->state;
}

const ServicePool::Candidate* ServicePool::Draw(
    const Candidates& tier,
    const std::vector<EndpointPtr>& excluded,
    double occupancy_limit,
    TimePoint now) {
  for (int i = 0; i < kDraws; ++i) {
    const Candidate& candidate = tier[random_->Below(tier.size())];
    if (!IsUsable(*candidate.state, occupancy_limit, now) ||
        Contains(excluded, candidate.state)) {
      continue;
    }
    const double weight = candidate.weight * candidate.state->WarmWeight(now);
    if (weight >= 1 || random_->Unit() < weight) {
      return &candidate;
    }
  }
  return nullptr;
}

const ServicePool::Candidate* ServicePool::ChooseIn(
    const Candidates& tier,
    const std::vector<EndpointPtr>& excluded,
    double occupancy_limit,
    TimePoint now) {
  if (tier.empty()) {
    return nullptr;
  }
  const Candidate* first = Draw(tier, excluded, occupancy_limit, now);
  const Candidate* second = Draw(tier, excluded, occupancy_limit, now);
  if (first != nullptr || second != nullptr) {
    return Better(first, second, now);
  }
  // Few are usable. The first two usable warm ones from a random place on are
  // compared; cold ones are left to LastResort() so that calls spill over.
  const size_t start = random_->Below(tier.size());
  for (size_t i = 0; i < tier.size() && second == nullptr; ++i) {
    const Candidate& candidate = tier[(start + i) % tier.size()];
    if (IsUsable(*candidate.state, occupancy_limit, now) &&
        candidate.state->WarmWeight(now) >= 1 &&
        !Contains(excluded, candidate.state)) {
      (first == nullptr ? first : second) = &candidate;
    }
  }
  return Better(first, second, now);
}

const ServicePool::Candidate* ServicePool::Better(const Candidate* a,
                                                  const Candidate* b,
                                                  TimePoint now) {
  if (a == nullptr || b == nullptr) {
    return a == nullptr ? b : a;
  }
  if (a == b || random_->Below(kProbeOneIn) == 0) {
    return a;
  }
  return b->state->Score(now) < a->state->Score(now) ? b : a;
}

const ServicePool::Candidate* ServicePool::LastResort(
    const std::vector<EndpointPtr>& excluded,
    TimePoint now) {
  // Cold before full, full before ejected or silent, these before draining;
  // within one kind the nearest, and of these the lowest score.
  const Candidate* best = nullptr;
  int best_rank = 0;
  double best_score = 0;
  uint64_t usable = 1;
  for (const Candidates& tier : tiers_) {
    for (const Candidate& candidate : tier) {
      const EndpointState& state = *candidate.state;
      if (Contains(excluded, candidate.state)) {
        continue;
      }
      int rank = 0;
      if (state.IsDraining(now)) {
        rank = 3;
      } else if (state.ejection().IsEjected(now) || state.IsSilent(now)) {
        rank = 2;
      } else if (state.IsFull(now)) {
        rank = 1;
      }
      const double score = state.Score(now);
      // Usable ones that are left are cold. Each of them is equally likely.
      const bool better =
          best == nullptr || rank < best_rank ||
          (rank == best_rank &&
           (rank == 0 ? random_->Below(++usable) == 0 : score < best_score));
      if (better) {
        best = &candidate;
        best_rank = rank;
        best_score = score;
      }
    }
    if (best != nullptr && best_rank == 0) {
      break;
    }
  }
  return best;
}

bool ServicePool::OnEnded(EndpointState* endpoint,
                          AttemptOutcome end,
                          std::chrono::nanoseconds latency) {
  endpoint->OnEnded(end, latency);
  if (!endpoint->ejection().Record(end)) {
    return false;
  }
  const TimePoint now = clock_->Now();
  if (endpoint->ejection().IsEjected(now)) {
    return false;
  }
  size_t ejected = 0;
  for (const auto& [id, state] : states_) {
    ejected += state->ejection().IsEjected(now) ? 1 : 0;
  }
  // At least half of the pool stays, because when most targets fail the cause
  // is elsewhere and leaving them out only overloads the rest.
  // A host that takes no connection serves nobody, whatever the others do.
  if (end != AttemptOutcome::kUnreachable &&
      2 * (ejected + 1) > states_.size()) {
    return false;
  }
  endpoint->ejection().Eject(now);
  return true;
}

}  // namespace dragonflytack
