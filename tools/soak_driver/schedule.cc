#include "soak_driver/schedule.h"

#include <algorithm>
#include <array>
#include <numeric>
#include <utility>

#include <fmt/format.h>

#include "support/fleet.h"

namespace dragonflytack {

namespace {

// Mean time between the beginnings of two faults. Most faults last longer, so
// that several overlap.
constexpr double kMeanGapSeconds = 0.45;
constexpr std::array<const char*, 7> kTargetSwitches = {
    R"({"hang":true})",      R"({"close":true})",   R"({"truncate":true})",
    R"({"error_rate":0.5})", R"({"delay_ms":400})", R"({"drain":true})",
    R"({"slow_start":true})"};
constexpr std::array<const char*, 6> kStoreFaults = {
    "outage=refuse",      "outage=hang",  "outage=close",
    "outage=unavailable", "delay_ms=300", "lose_answers=-1"};

}  // namespace

Schedule::Schedule(uint64_t seed, int nodes, int data_centres, double seconds)
    : random_(seed),
      nodes_(nodes),
      data_centres_(data_centres),
      seconds_(seconds),
      stops_only_(random_.Below(3) == 0) {}

std::vector<SoakEvent> Schedule::Draw() {
  struct Wave {
    int weight;
    void (Schedule::*add)(double at);
    bool with_stops_only = false;
  };
  constexpr std::array<Wave, 7> kWaves = {
      {{5, &Schedule::AddPlannedStops, true},
       {2, &Schedule::AddKills},
       {3, &Schedule::AddPauses},
       {7, &Schedule::AddLinkFault},
       {3, &Schedule::AddTargetSwitch},
       {2, &Schedule::AddStoreFault},
       {4, &Schedule::AddEdits, true}}};
  const int total = std::accumulate(
      kWaves.begin(), kWaves.end(), 0,
      [](int sum, const Wave& wave) { return sum + wave.weight; });
  for (double at = 0; at < seconds_; at += Between(0, 2 * kMeanGapSeconds)) {
    int drawn = static_cast<int>(random_.Below(total));
    for (const Wave& wave : kWaves) {
      if (drawn < wave.weight) {
        if (!stops_only_ || wave.with_stops_only) {
          (this->*wave.add)(at);
        }
        break;
      }
      drawn -= wave.weight;
    }
  }
  std::stable_sort(
      events_.begin(), events_.end(),
      [](const SoakEvent& a, const SoakEvent& b) { return a.at < b.at; });
  return std::move(events_);
}

void Schedule::AddPlannedStops(double at) {
  const int count =
      1 + static_cast<int>(random_.Below(std::max(1, nodes_ / 2)));
  for (const int node : Nodes(count)) {
    const double first = at + Between(0, 0.6);
    events_.push_back(
        {SoakEventKind::kTerminate, first, node, Between(0, 1.5)});
    const int further = static_cast<int>(random_.Below(3));
    for (int i = 0; i < further; ++i) {
      events_.push_back(
          {SoakEventKind::kTerminateAgain, first + Between(0, 1.5), node});
    }
  }
}

void Schedule::AddKills(double at) {
  for (const int node : Nodes(1 + static_cast<int>(random_.Below(2)))) {
    events_.push_back(
        {SoakEventKind::kKill, at + Between(0, 0.3), node, Between(0, 2)});
  }
}

void Schedule::AddPauses(double at) {
  for (const int node : Nodes(1 + static_cast<int>(random_.Below(2)))) {
    const auto kind = random_.Below(4) == 0 ? SoakEventKind::kPauseTarget
                                            : SoakEventKind::kPause;
    events_.push_back({kind, at + Between(0, 0.3), node, Between(0.1, 4)});
  }
}

void Schedule::AddLinkFault(double at) {
  LinkFault fault;
  fault.kind = static_cast<LinkFaultKind>(random_.Below(5));
  if (fault.kind == LinkFaultKind::kDelay) {
    fault.delay_ms = 5 + static_cast<int>(random_.Below(250));
  }
  fault.open_only = random_.Below(3) == 0;
  fault.for_good = fault.open_only && random_.Below(2) == 0;
  const ProcessMask one = ProcessMask{1} << Node();
  const ProcessMask other = ProcessMask{1} << Node();
  const ProcessMask data_centre =
      DataCentre(static_cast<int>(random_.Below(data_centres_)));
  constexpr std::array<uint16_t, 4> kPorts = {0, 0, Fleet::kPeerPort,
                                              Fleet::kMeshPort};
  fault.port = kPorts[random_.Below(kPorts.size())];
  switch (random_.Below(5)) {
    case 0:  // Between two nodes.
      fault.sources = fault.destinations = one | other;
      break;
    case 1:  // From a node to all others.
      fault.sources = one;
      fault.destinations = AllNodes();
      break;
    case 2:  // Between a data centre and the others.
      fault.sources = data_centre;
      fault.destinations = AllNodes() & ~data_centre;
      break;
    case 3:  // Between nodes and the store.
      fault.sources = data_centre | one;
      fault.destinations = kStoreMask;
      fault.port = 0;
      break;
    default:  // Between a node and its target.
      fault.sources = fault.destinations = one;
      fault.port = Fleet::kTargetPort;
      break;
  }
  SoakEvent event{SoakEventKind::kLinkFault, at, 0, Between(0.1, 4)};
  event.link = fault;
  events_.push_back(event);
}

void Schedule::AddTargetSwitch(double at) {
  events_.push_back({SoakEventKind::kTargetSwitch, at, Node(), Between(0.2, 3),
                     LinkFault{},
                     kTargetSwitches[random_.Below(kTargetSwitches.size())]});
}

void Schedule::AddStoreFault(double at) {
  events_.push_back({SoakEventKind::kStoreFault, at, 0, Between(0.2, 3),
                     LinkFault{},
                     kStoreFaults[random_.Below(kStoreFaults.size())]});
}

void Schedule::AddEdits(double at) {
  const int count = 1 + static_cast<int>(random_.Below(3));
  for (int i = 0; i < count; ++i) {
    events_.push_back({SoakEventKind::kEdit, at + Between(0, 0.5), Node()});
  }
}

double Schedule::Between(double low, double high) {
  return low + (high - low) * random_.Unit();
}

std::vector<int> Schedule::Nodes(int count) {
  std::vector<int> nodes(nodes_);
  std::iota(nodes.begin(), nodes.end(), 0);
  for (int i = 0; i < count; ++i) {
    std::swap(nodes[i], nodes[i + random_.Below(nodes_ - i)]);
  }
  nodes.resize(count);
  return nodes;
}

ProcessMask Schedule::DataCentre(int data_centre) const {
  ProcessMask mask = 0;
  for (int i = data_centre; i < nodes_; i += data_centres_) {
    mask |= ProcessMask{1} << i;
  }
  return mask;
}

ProcessMask Schedule::AllNodes() const {
  return (ProcessMask{1} << nodes_) - 1;
}

}  // namespace dragonflytack
