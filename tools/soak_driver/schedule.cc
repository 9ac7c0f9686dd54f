#include "soak_driver/schedule.h"

#include <algorithm>
#include <array>
#include <numeric>
#include <string>
#include <utility>

#include <fmt/format.h>

namespace dragonflytack {

namespace {

// Mean time between the beginnings of two faults. Most faults last longer, so
// that several overlap.
constexpr double kMeanGapSeconds = 0.45;
// The same for faults of connections.
constexpr double kMeanRelayGap = 0.8;
// The same for returns of the store. The write-back takes about 2 s.
constexpr double kMeanStoreReturnGap = 3;
constexpr uint64_t kMaxCopyAgeMs = 10'000;
constexpr uint64_t kStoreReturnSeed = 1'000'003;
constexpr std::array<const char*, 7> kTargetSwitches = {
    R"({"hang":true})",      R"({"close":true})",   R"({"truncate":true})",
    R"({"error_rate":0.5})", R"({"delay_ms":400})", R"({"drain":true})",
    R"({"slow_start":true})"};
constexpr std::array<const char*, 6> kStoreFaults = {
    "outage=refuse",      "outage=hang",  "outage=close",
    "outage=unavailable", "delay_ms=300", "lose_answers=-1"};

}  // namespace

Schedule::Schedule(const SoakOptions& options)
    : random_(options.seed),
      store_return_random_(options.seed + kStoreReturnSeed),
      nodes_(options.nodes),
      seconds_(options.seconds),
      connection_faults_(options.connection_faults),
      stale_peers_(options.stale_peers),
      store_returns_(options.store_returns),
      stops_only_(random_.Below(3) == 0) {}

std::vector<SoakEvent> Schedule::Draw() {
  struct Wave {
    int weight;
    void (Schedule::*add)(double at);
    bool with_stops_only = false;
  };
  constexpr std::array<Wave, 6> kWaves = {
      {{5, &Schedule::AddPlannedStops, true},
       {2, &Schedule::AddKills},
       {3, &Schedule::AddPauses},
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
  // Drawn last, so that the other events do not depend on it.
  if (connection_faults_ && !stops_only_) {
    for (double at = 0; at < seconds_; at += Between(0, 2 * kMeanRelayGap)) {
      AddRelayFault(at);
    }
  }
  if (stale_peers_ && !stops_only_) {
    AddStalePeers(Between(0, seconds_));
  }
  if (store_returns_ && !stops_only_) {
    AddStoreReturns();
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

void Schedule::AddTargetSwitch(double at) {
  events_.push_back({SoakEventKind::kTargetSwitch, at, Node(), Between(0.2, 3),
                     kTargetSwitches[random_.Below(kTargetSwitches.size())]});
}

void Schedule::AddStoreFault(double at) {
  events_.push_back({SoakEventKind::kStoreFault, at, 0, Between(0.2, 3),
                     kStoreFaults[random_.Below(kStoreFaults.size())]});
}

void Schedule::AddEdits(double at) {
  const int count = 1 + static_cast<int>(random_.Below(3));
  for (int i = 0; i < count; ++i) {
    events_.push_back({SoakEventKind::kEdit, at + Between(0, 0.5), Node()});
  }
}

void Schedule::AddRelayFault(double at) {
  RelayFault fault;
  fault.kind = static_cast<RelayFaultKind>(random_.Below(5));
  fault.route =
      random_.Below(2) == 0 ? RelayRoute::kStore : RelayRoute::kTarget;
  for (const int node : Nodes(1 + static_cast<int>(random_.Below(3)))) {
    fault.nodes |= uint64_t{1} << node;
  }
  if (fault.kind == RelayFaultKind::kDelay) {
    fault.delay_ms = 5 + static_cast<int>(random_.Below(250));
  }
  fault.open_only = random_.Below(3) == 0;
  fault.for_good = fault.kind == RelayFaultKind::kSilence && fault.open_only &&
                   random_.Below(2) == 0;
  SoakEvent event{SoakEventKind::kRelayFault, at, 0, Between(0.1, 4)};
  event.relay_fault = fault;
  events_.push_back(event);
}

void Schedule::AddStalePeers(double at) {
  // Longer than the 3 s after which the others close the links to a silent
  // node. What is sent to an open link reaches the node when it goes on.
  constexpr double kPause = 4.5;
  constexpr double kEditAt = 4;
  constexpr double kStoreFaultAt = 4.4;
  constexpr double kKillAt = kPause + 0.02;
  // A version comes into force once two nodes hold it.
  constexpr size_t kAhead = 3;
  const std::vector<int> nodes = Nodes(nodes_);
  for (size_t i = 0; i < nodes.size(); ++i) {
    if (i < kAhead) {
      events_.push_back(
          {SoakEventKind::kKill, at + kKillAt, nodes[i], Between(0, 0.5)});
    } else {
      events_.push_back({SoakEventKind::kPause, at, nodes[i], kPause});
    }
  }
  events_.push_back({SoakEventKind::kEdit, at + kEditAt, nodes[0]});
  events_.push_back({SoakEventKind::kStoreFault, at + kStoreFaultAt, 0,
                     Between(2, 4), "outage=refuse"});
}

void Schedule::AddStoreReturns() {
  Random& random = store_return_random_;
  const auto add = [&](double at) {
    events_.push_back({SoakEventKind::kStoreReturn, at, 0, 0,
                       std::to_string(random.Below(kMaxCopyAgeMs))});
  };
  for (double at = 2 * kMeanStoreReturnGap * random.Unit(); at < seconds_;
       at += 2 * kMeanStoreReturnGap * random.Unit()) {
    add(at);
    if (random.Below(3) == 0) {
      add(at + random.Unit());
    }
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

}  // namespace dragonflytack
