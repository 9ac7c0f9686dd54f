#include "load_model.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <numeric>

namespace dragonflytack::load_model {

namespace {

constexpr double kMillisPerSecond = 1000;
constexpr double kSampleMillis = 50;
constexpr double kFailureMillis = 5;
constexpr double kFailureShare = 0.6;
constexpr double kVerySlow = 4;

double Ratio(double part, double whole) {
  return whole > 0 ? part / whole : 0;
}

double Quantile(std::vector<double>* values, double share) {
  if (values->empty()) {
    return 0;
  }
  const auto at =
      values->begin() +
      static_cast<ptrdiff_t>(share * static_cast<double>(values->size() - 1));
  std::nth_element(values->begin(), at, values->end());
  return *at;
}

}  // namespace

LoadModel::LoadModel(const Pattern& pattern, uint64_t seed)
    : seed_(seed), random_(seed), site_{pattern, {}} {
  double capacity = 0;
  for (int i = 0; i < pattern.targets; ++i) {
    site_.speeds.push_back(pattern.slowest +
                           (pattern.fastest - pattern.slowest) * i /
                               std::max(1, pattern.targets - 1));
  }
  std::shuffle(site_.speeds.begin(), site_.speeds.end(), random_);
  if (pattern.has_slow_target) {
    site_.speeds[0] = 1;
  }
  for (int i = 0; i < pattern.targets; ++i) {
    SimulatedTarget& target = targets_.emplace_back();
    target.slots = pattern.slots;
    target.speed = site_.speeds[i];
    target.joined = i > 0 || !pattern.has_cold_target;
    // A failing target serves few calls, and a joining one none at first.
    const bool counts =
        i > 0 || !(pattern.has_failing_target || pattern.has_cold_target);
    const double speed = i == 0 && pattern.has_slow_target
                             ? target.speed / kVerySlow
                             : target.speed;
    capacity += counts ? speed * pattern.slots : 0;
    Schedule(Exponential(kSlowMillis), EventKind::kSpeed, i);
  }
  // A target that is slow for a part of the time runs fewer calls.
  capacity *= 1 - kSlowShare + kSlowShare / kSlowFactor;
  const double calls_per_ms = pattern.load * capacity / kMeanRunTime;
  double weight_sum = 0;
  std::vector<double> weights;
  for (int i = 0; i < pattern.nodes; ++i) {
    weights.push_back(Site::DataCentreOf(i) == 0 ? pattern.zone_factor : 1);
    weight_sum += weights.back();
  }
  for (const double weight : weights) {
    node_intervals_.push_back(weight_sum / weight / calls_per_ms);
  }
  run_calls_.resize(targets_.size());
  run_calls_at_once_.resize(targets_.size());
  occupancy_sums_.resize(targets_.size());
  occupancy_squares_.resize(targets_.size());
  reported_at_.resize(pattern.nodes, std::vector<double>(targets_.size(), -1));
}

TimePoint LoadModel::Now() const {
  return TimePoint(std::chrono::hours(1)) +
         std::chrono::duration_cast<TimePoint::duration>(
             std::chrono::duration<double, std::milli>(now_));
}

Figures LoadModel::Run(const ChooserFactory& factory) {
  for (int i = 0; i < site_.pattern.nodes; ++i) {
    choosers_.push_back(factory(*this, i));
    Schedule(Exponential(node_intervals_[i]), EventKind::kCall, i);
  }
  Schedule(kWarmUp * kMillisPerSecond, EventKind::kSample, 0);
  while (events_.top().time < site_.pattern.seconds * kMillisPerSecond) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.time;
    ApplyChanges();
    Handle(event);
  }
  return Summarise();
}

void LoadModel::ApplyChanges() {
  SimulatedTarget& first = targets_[0];
  if (!has_changed_ && now_ >= kChange * kMillisPerSecond) {
    has_changed_ = true;
    first.failing = site_.pattern.has_failing_target;
    first.speed /= site_.pattern.has_slow_target ? kVerySlow : 1;
  }
  if (!has_joined_ && IsMeasured()) {
    has_joined_ = true;
    if (!first.joined) {
      first.joined = true;
      for (const auto& chooser : choosers_) {
        chooser->OnJoined(0);
      }
    }
  }
}

void LoadModel::Handle(const Event& event) {
  const int index = static_cast<int>(event.index);
  switch (event.kind) {
    case EventKind::kCall:
      SendCall(index);
      Schedule(Exponential(node_intervals_[index]), EventKind::kCall, index);
      break;
    case EventKind::kArrival: {
      SimulatedTarget& target = targets_[calls_[event.index].target];
      --target.in_transit;
      if (target.running < target.slots) {
        StartCall(event.index);
      } else {
        target.waiting.push_back(event.index);
      }
      break;
    }
    case EventKind::kEnd:
      EndCall(event.index);
      break;
    case EventKind::kResponse: {
      Call& call = calls_[event.index];
      call.response.latency_ms = now_ - call.sent;
      choosers_[call.node]->OnResponse(call.response);
      reported_at_[call.node][call.target] = now_;
      break;
    }
    case EventKind::kSpeed:
      ChangeSpeed(index);
      break;
    case EventKind::kSample:
      Sample();
      Schedule(kSampleMillis, EventKind::kSample, 0);
      break;
  }
}

void LoadModel::SendCall(int node) {
  const double mu = std::log(kMeanRunTime) - kRunTimeSigma * kRunTimeSigma / 2;
  const double work =
      std::lognormal_distribution<double>(mu, kRunTimeSigma)(random_);
  const int target = choosers_[node]->Choose();
  choosers_[node]->OnSent(target);
  if (IsMeasured()) {
    ++sent_;
    left_region_ += Site::RegionOf(node) == Site::RegionOf(target) ? 0 : 1;
    if (reported_at_[node][target] >= 0) {
      age_sum_ += now_ - reported_at_[node][target];
      ++ages_;
    }
  }
  ++targets_[target].in_transit;
  calls_.push_back({node, target, now_, 0, work, {}});
  Schedule(Site::OneWay(node, target), EventKind::kArrival, calls_.size() - 1);
}

void LoadModel::StartCall(size_t index) {
  Call& call = calls_[index];
  SimulatedTarget& target = targets_[call.target];
  call.start = now_;
  ++target.running;
  call.response.failed =
      target.failing &&
      std::uniform_real_distribution<double>(0, 1)(random_) < kFailureShare;
  Schedule(call.response.failed ? kFailureMillis
                                : call.work * target.slowness / target.speed,
           EventKind::kEnd, index);
}

void LoadModel::EndCall(size_t index) {
  Call& call = calls_[index];
  SimulatedTarget& target = targets_[call.target];
  --target.running;
  const double distance = Site::OneWay(call.node, call.target);
  // A call counts by when it was sent, so that those that never start in a
  // growing queue are seen as long as they end within the run.
  if (call.sent >= kWarmUp * kMillisPerSecond) {
    // The way back is as long as the way there.
    const double wait = call.start - call.sent - kOneWayInDataCentre +
                        distance - kOneWayInDataCentre;
    waits_.push_back(wait);
  }
  if (IsMeasured()) {
    ++run_calls_[call.target];
    if (now_ < (kWarmUp + 1) * kMillisPerSecond) {
      ++run_calls_at_once_[call.target];
    }
  }
  if (!target.waiting.empty()) {
    const size_t next = target.waiting.front();
    target.waiting.pop_front();
    StartCall(next);
  }
  call.response.target = call.target;
  const int waiting = static_cast<int>(target.waiting.size());
  const bool is_false = call.target == 0 && site_.pattern.has_false_target;
  call.response.load =
      is_false ? TargetLoad(0, 0, target.slots, 1)
               : TargetLoad(target.running, 0, target.slots,
                            static_cast<int>(target.slowness * 100));
  call.response.occupancy =
      static_cast<double>(target.running + waiting) / target.slots;
  Schedule(distance, EventKind::kResponse, index);
}

void LoadModel::ChangeSpeed(int index) {
  SimulatedTarget& target = targets_[index];
  const bool slow = target.slowness == 1;
  target.slowness = slow ? kSlowFactor : 1;
  Schedule(Exponential(slow ? kSlowMillis
                            : kSlowMillis * (1 - kSlowShare) / kSlowShare),
           EventKind::kSpeed, index);
}

void LoadModel::Sample() {
  ++samples_;
  for (size_t i = 0; i < targets_.size(); ++i) {
    const SimulatedTarget& target = targets_[i];
    const double occupancy =
        static_cast<double>(target.running) + target.waiting.size();
    occupancy_sums_[i] += occupancy / target.slots;
    occupancy_squares_[i] +=
        occupancy * occupancy / target.slots / target.slots;
  }
}

Figures LoadModel::Summarise() {
  Figures figures;
  // Calls that still wait have waited at least until now.
  for (const SimulatedTarget& target : targets_) {
    for (const size_t index : target.waiting) {
      if (calls_[index].sent >= kWarmUp * kMillisPerSecond) {
        waits_.push_back(now_ - calls_[index].sent);
      }
    }
  }
  figures.wait_mean = Ratio(std::accumulate(waits_.begin(), waits_.end(), 0.0),
                            static_cast<double>(waits_.size()));
  figures.wait_p50 = Quantile(&waits_, 0.5);
  figures.wait_p99 = Quantile(&waits_, 0.99);
  double weighted_sum = 0;
  double weighted_max = 0;
  double variance_sum = 0;
  for (size_t i = 0; i < targets_.size(); ++i) {
    const double weighted =
        run_calls_[i] / (targets_[i].speed * targets_[i].slots);
    weighted_sum += weighted;
    if (i > 0 || !site_.pattern.has_failing_target) {
      weighted_max = std::max(weighted_max, weighted);
    }
    const double mean = occupancy_sums_[i] / samples_;
    variance_sum += std::sqrt(
        std::max(0.0, occupancy_squares_[i] / samples_ - mean * mean));
  }
  const double targets = static_cast<double>(targets_.size());
  figures.busiest_to_mean = Ratio(weighted_max * targets, weighted_sum);
  figures.oscillation = variance_sum / targets;
  figures.left_region =
      Ratio(static_cast<double>(left_region_), static_cast<double>(sent_));
  figures.report_age = Ratio(age_sum_, static_cast<double>(ages_));
  const auto share = [targets](const std::vector<double>& calls) {
    return Ratio(calls[0] * (targets - 1),
                 std::accumulate(calls.begin() + 1, calls.end(), 0.0));
  };
  figures.first_target_share = share(run_calls_);
  figures.first_target_share_at_once = share(run_calls_at_once_);
  return figures;
}

}  // namespace dragonflytack::load_model
