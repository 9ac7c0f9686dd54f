#include "fleet_emulator/synthetic_fleet.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "dragonflytack/base/hash.h"

namespace dragonflytack {

namespace {

constexpr double kMillisPerDay = 86'400'000;
constexpr size_t kBatchRecords = 512;
// Interval between the batches of the initial records.
constexpr Milliseconds kBatchGap{50};
constexpr int kHostsPerByte = 250;
constexpr int kSlots = 12;
constexpr uint64_t kSeed = 1;

}  // namespace

SyntheticFleet::SyntheticFleet(const Options& options,
                               TimerService* timers,
                               MessageSink sink)
    : timers_(timers), sink_(std::move(sink)), random_(kSeed) {
  const uint64_t region_seed = Hash64(kRegion);
  const uint64_t gateway_hash = Hash64(options.last_gateway, region_seed);
  const int64_t now = timers_->clock().WallMillis();
  int host = 0;
  while (static_cast<int>(records_.size()) < options.nodes) {
    const int data_centre = host % kDataCentres;
    const int position = host / kDataCentres;
    NodeRecord record;
    record.id = fmt::format("emulated-{:05}", host++);
    if (Hash64(record.id, region_seed) >= gateway_hash) {
      continue;
    }
    record.incarnation = static_cast<uint64_t>(now);
    record.sequence = 1;
    record.region = kRegion;
    record.data_centre = fmt::format("{}-{}", kRegion, data_centre + 1);
    // Each address is unique, and no process listens on it.
    record.address =
        fmt::format("{}.{}.{}", options.network,
                    100 + data_centre * 4 + position / kHostsPerByte,
                    1 + position % kHostsPerByte);
    record.peer_port = options.peer_port;
    record.mesh_port = static_cast<uint16_t>(options.peer_port - 1);
    record.admin_port = static_cast<uint16_t>(options.peer_port + 1);
    record.service = fmt::format("service-{:03}", host % options.services);
    record.state = TargetState::kReady;
    record.slots = kSlots;
    records_.push_back(std::move(record));
  }
  transitioning_.resize(records_.size());
}

void SyntheticFleet::SendAll() {
  SendFrom(0);
}

void SyntheticFleet::SendFrom(size_t first) {
  const size_t end = std::min(first + kBatchRecords, records_.size());
  RecordsMessage message;
  for (size_t i = first; i < end; ++i) {
    message.records.push_back(RecordUpdate{records_[i]});
  }
  sink_(message);
  if (end < records_.size()) {
    timers_->SubscribeOnce(kBatchGap, [this, end] { SendFrom(end); });
  }
}

void SyntheticFleet::StartChurn(double multiple) {
  events_per_interval_ = (kRestartsPerDay + kFailuresPerDay) * multiple *
                         static_cast<double>(kChurnInterval.count()) /
                         kMillisPerDay;
  pending_events_ = 0;
  churn_timer_ =
      timers_->SubscribeEvery(kChurnInterval, [this] { StartPendingEvents(); });
}

void SyntheticFleet::StopChurn() {
  timers_->Cancel(std::exchange(churn_timer_, 0));
}

void SyntheticFleet::StartPendingEvents() {
  pending_events_ += events_per_interval_;
  while (pending_events_ >= 1) {
    pending_events_ -= 1;
    const size_t index = PickStableNode();
    transitioning_[index] = true;
    const bool fails =
        random_.Unit() * (kRestartsPerDay + kFailuresPerDay) < kFailuresPerDay;
    fails ? SimulateFailure(index) : SimulateRestart(index);
  }
}

size_t SyntheticFleet::PickStableNode() {
  // The injection link uses the identity of the first node, so that one does
  // not change.
  size_t index = 1 + random_.Below(records_.size() - 1);
  while (transitioning_[index]) {
    index = 1 + index % (records_.size() - 1);
  }
  return index;
}

void SyntheticFleet::SimulateRestart(size_t index) {
  RunTransitions(index, {{Milliseconds(0), TargetState::kDraining, false},
                         {Milliseconds(1000), TargetState::kLeft, false},
                         {Milliseconds(1000), TargetState::kStarting, true},
                         {Milliseconds(1000), TargetState::kWarming, false},
                         {Milliseconds(1000), TargetState::kReady, false}});
}

void SyntheticFleet::SimulateFailure(size_t index) {
  const NodeRecord& record = records_[index];
  sink_(SuspicionsMessage{
      {Suspicion{record.id, record.incarnation, record.sequence}}});
  ++updates_;
  // Peers consider the node dead 4 s after the suspicion.
  RunTransitions(index, {{Milliseconds(6000), TargetState::kStarting, true},
                         {Milliseconds(1000), TargetState::kWarming, false},
                         {Milliseconds(1000), TargetState::kReady, false}});
}

void SyntheticFleet::RunTransitions(size_t index,
                                    std::vector<Transition> transitions) {
  if (transitions.empty()) {
    transitioning_[index] = false;
    return;
  }
  const Transition transition = transitions.front();
  transitions.erase(transitions.begin());
  timers_->SubscribeOnce(
      transition.after,
      [this, index, transition, transitions = std::move(transitions)] {
        Update(index, transition);
        RunTransitions(index, transitions);
      });
}

void SyntheticFleet::Update(size_t index, const Transition& transition) {
  NodeRecord& record = records_[index];
  if (transition.new_incarnation) {
    ++record.incarnation;
    record.sequence = 0;
  }
  ++record.sequence;
  record.state = transition.state;
  record.warming_since_ms = transition.state == TargetState::kWarming
                                ? timers_->clock().WallMillis()
                                : record.warming_since_ms;
  sink_(RecordsMessage{{RecordUpdate{record}}, {}});
  ++updates_;
}

}  // namespace dragonflytack
