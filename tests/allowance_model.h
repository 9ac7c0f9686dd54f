#ifndef DRAGONFLYTACK_TESTS_ALLOWANCE_MODEL_H_
#define DRAGONFLYTACK_TESTS_ALLOWANCE_MODEL_H_

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <unordered_set>
#include <vector>

#include "accounts/allowance_gate.h"
#include "accounts/allowance_homes.h"
#include "accounts/allowance_ledger.h"
#include "accounts/allowance_timing.h"

namespace dragonflytack {

// A discrete-event model of 90 nodes that limit the calls of one account, with
// the decision cores of the entry nodes and the home nodes and without network.
namespace allowance_model {

inline constexpr int kNodes = 90;
inline constexpr int kRegions = 3;
inline constexpr int kDataCentres = 6;
inline constexpr char kAccount[] = "account";
// The bounds of the deployment in docs/design/README.md.
inline constexpr AllowanceBounds kBounds{Milliseconds(5'000), 0.1, 20};
inline constexpr Milliseconds kTick{100};
// The nodes agree that many nodes are dead after 3 s of silence and 12 s of
// suspicion.
inline constexpr Milliseconds kDeathTime{15'000};

inline TimePoint At(double seconds) {
  return TimePoint(std::chrono::duration_cast<TimePoint::duration>(
      std::chrono::duration<double>(1'000 + seconds)));
}

inline int RegionOf(int node) {
  return node % kRegions;
}

// What happens to the fleet.
struct Pattern {
  AllowanceLimit limit{1, 300, 0};
  double seconds = 60;
  // Calls per second of the whole account at a time.
  std::function<double(double)> demand;
  // The node at which a call arrives.
  std::function<int(double, std::mt19937_64&)> entry =
      [](double, std::mt19937_64& random) {
        return static_cast<int>(random() % kNodes);
      };
  // Region that is cut off during [from, to).
  int cut_region = -1;
  double cut_from = 0;
  double cut_to = 0;
  // Nodes that end at a time, and come back.
  std::function<bool(int node, int home)> is_killed = [](int, int) {
    return false;
  };
  // Whether the hosts end too, so that nothing refuses connections to them.
  bool loses_power = false;
  double kill_at = 1e9;
  double restart_at = 1e9;
  // Limit that replaces the first one.
  double lower_at = 1e9;
  AllowanceLimit lower{};
};

struct Figures {
  // Largest number of calls in a window above the bound; negative if none.
  double excess = -1e9;
  int offered = 0;
  int refused = 0;
  // Refused although the calls that arrived in the window were in the limit.
  int wrongly_refused = 0;
  int messages = 0;
  double longest_wait_ms = 0;

  double WrongShare() const {
    return offered == 0 ? 0 : static_cast<double>(wrongly_refused) / offered;
  }
};

class Model final {
 public:
  Model(const Pattern& pattern, uint64_t seed)
      : pattern_(pattern), random_(seed), nodes_(kNodes) {
    std::vector<AllowanceHomes::Node> names;
    for (int i = 0; i < kNodes; ++i) {
      names.push_back(Location(i));
      index_[Name(i)] = i;
    }
    for (auto& node : nodes_) {
      Start(&node, names);
    }
    first_home_ = index_[nodes_[0].homes.Find(kAccount).node];
  }

  Figures Run() {
    for (int i = 0; i < kNodes; ++i) {
      Schedule(Uniform() * kTick.count() / 1000.0, [this, i] { Tick(i); });
    }
    ScheduleCall();
    Schedule(pattern_.kill_at, [this] { Kill(); });
    Schedule(pattern_.restart_at, [this] { Restart(); });
    while (!events_.empty() && events_.top().time < pattern_.seconds) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.time;
      event.action();
    }
    Judge();
    return figures_;
  }

 private:
  struct Waiting {
    int id;
    double since;
  };
  struct Node {
    std::unique_ptr<AllowanceGate> gate;
    std::unique_ptr<AllowanceLedger> ledger;
    AllowanceHomes homes;
    std::vector<Waiting> waiting;
    // Number of the request in flight, by home node.
    std::map<NodeId, uint64_t> in_flight;
    uint64_t sequence = 0;
    uint64_t incarnation = 0;
    bool is_dead = false;
  };
  struct Event {
    double time;
    uint64_t order;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return time != other.time ? time > other.time : order > other.order;
    }
  };

  static NodeId Name(int i) { return "node-" + std::to_string(i); }
  static AllowanceHomes::Node Location(int i) {
    return {Name(i), "dc-" + std::to_string(i % kDataCentres)};
  }
  double Uniform() {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }
  void Schedule(double time, std::function<void()> action) {
    events_.push({time, order_++, std::move(action)});
  }

  void Start(Node* node, const std::vector<AllowanceHomes::Node>& names) {
    node->gate = std::make_unique<AllowanceGate>();
    node->ledger = std::make_unique<AllowanceLedger>(kBounds);
    ++node->incarnation;
    node->is_dead = false;
    node->homes = AllowanceHomes();
    node->homes.SetNodes(names);
    node->ledger->OnHomesChanged(At(now_));
  }

  void SetNodes(const std::vector<AllowanceHomes::Node>& names,
                const std::unordered_set<NodeId>& dead) {
    for (auto& node : nodes_) {
      // The change spreads within a second.
      Schedule(now_ + Uniform() * 0.5, [this, &node, names, dead] {
        for (const NodeId& name : dead) {
          node.ledger->OnNodeEnded(name);
        }
        if (node.homes.SetNodes(names)) {
          node.ledger->OnHomesChanged(At(now_));
        }
      });
    }
  }

  void Kill() {
    std::vector<AllowanceHomes::Node> alive;
    std::unordered_set<NodeId> dead;
    for (int i = 0; i < kNodes; ++i) {
      if (pattern_.is_killed(i, first_home_)) {
        nodes_[i].is_dead = true;
        for (const Waiting& call : nodes_[i].waiting) {
          calls_[call.id].offered = false;
        }
        nodes_[i].waiting.clear();
        dead.insert(Name(i));
      } else {
        alive.push_back(Location(i));
      }
    }
    if (now_ + kDeathTime.count() / 1000.0 < pattern_.restart_at) {
      Schedule(now_ + kDeathTime.count() / 1000.0,
               [this, alive, dead] { SetNodes(alive, dead); });
    }
  }

  void Restart() {
    std::vector<AllowanceHomes::Node> names;
    for (int i = 0; i < kNodes; ++i) {
      names.push_back(Location(i));
    }
    for (auto& node : nodes_) {
      if (node.is_dead) {
        Start(&node, names);
        node.in_flight.clear();
      }
    }
    SetNodes(names, {});
  }

  bool Connected(int a, int b) const {
    const bool cut = now_ >= pattern_.cut_from && now_ < pattern_.cut_to;
    return !cut || (RegionOf(a) == pattern_.cut_region) ==
                       (RegionOf(b) == pattern_.cut_region);
  }
  double Delay(int a, int b) {
    const double base = a == b                       ? 0
                        : RegionOf(a) == RegionOf(b) ? 0.0014
                                                     : 0.008;
    return base + Uniform() * 0.002;
  }

  AllowanceLimit Limit() const {
    return now_ >= pattern_.lower_at ? pattern_.lower : pattern_.limit;
  }

  void ScheduleCall() {
    const double rate = std::max(pattern_.demand(now_), 0.01);
    Schedule(now_ + std::exponential_distribution<double>(rate)(random_),
             [this] { Arrive(); });
  }

  void Arrive() {
    ScheduleCall();
    int to = pattern_.entry(now_, random_);
    while (nodes_[to].is_dead) {
      to = (to + 7) % kNodes;
    }
    const int id = static_cast<int>(calls_.size());
    calls_.push_back({now_, true, -1, true});
    const AllowanceGate::Answer answer =
        nodes_[to].gate->Ask(kAccount, Limit(), At(now_));
    switch (answer.decision) {
      case AllowanceGate::Decision::kAdmitted:
        calls_[id].admitted = now_;
        break;
      case AllowanceGate::Decision::kRefused:
        calls_[id].refused = true;
        break;
      case AllowanceGate::Decision::kWaits:
        nodes_[to].waiting.push_back({id, now_});
        Schedule(now_ + kAllowanceMaxWait.count() / 1000.0,
                 [this, to, id, incarnation = nodes_[to].incarnation] {
                   if (nodes_[to].incarnation == incarnation) {
                     Resolve(to, id);
                   }
                 });
        SendDue(to);
    }
  }

  // Resolves the waiting calls up to `last`.
  void Resolve(int at, int last) {
    Node& node = nodes_[at];
    auto it = node.waiting.begin();
    for (; it != node.waiting.end() && it->id <= last; ++it) {
      const AllowanceGate::Answer answer =
          node.gate->Resolve(kAccount, At(now_));
      figures_.longest_wait_ms =
          std::max(figures_.longest_wait_ms, (now_ - it->since) * 1000);
      if (answer.decision == AllowanceGate::Decision::kAdmitted) {
        calls_[it->id].admitted = now_;
      } else {
        calls_[it->id].refused = true;
      }
    }
    node.waiting.erase(node.waiting.begin(), it);
  }

  void Tick(int at) {
    Schedule(now_ + kTick.count() / 1000.0, [this, at] { Tick(at); });
    Node& node = nodes_[at];
    if (node.is_dead) {
      return;
    }
    node.gate->Sweep(At(now_));
    node.ledger->Sweep(At(now_));
    for (const NodeId& lost : node.ledger->LostNodes()) {
      if (nodes_[index_[lost]].is_dead && !pattern_.loses_power) {
        node.ledger->OnNodeEnded(lost);
      }
    }
    for (const NodeId& probe : node.homes.TakeProbes(At(now_))) {
      if (!node.in_flight.contains(probe)) {
        Send(at, probe, {});
      }
    }
    SendDue(at);
  }

  void SendDue(int at) {
    Node& node = nodes_[at];
    for (const NodeId& home : node.gate->DueHomes(node.homes, At(now_))) {
      if (!node.in_flight.contains(home)) {
        Send(at, home, node.gate->TakeReports(node.homes, home, At(now_)));
      }
    }
  }

  void Send(int at, const NodeId& home, std::vector<AllowanceReport> reports) {
    Node& node = nodes_[at];
    const AllowanceRequest request{Name(at), node.incarnation, ++node.sequence,
                                   std::move(reports)};
    const int last = node.waiting.empty() ? -1 : node.waiting.back().id;
    const int to = index_[home];
    const double sent = now_;
    figures_.messages += at != to;
    node.in_flight[home] = request.sequence;
    const auto is_current = [this, at, home, number = request.sequence,
                             incarnation = node.incarnation] {
      const auto found = nodes_[at].in_flight.find(home);
      return !nodes_[at].is_dead && nodes_[at].incarnation == incarnation &&
             found != nodes_[at].in_flight.end() && found->second == number;
    };
    Schedule(
        sent + kAllowanceResponseTime.count() / 1000.0,
        [this, at, home, is_current, has_reports = !request.reports.empty()] {
          if (is_current()) {
            nodes_[at].in_flight.erase(home);
            nodes_[at].homes.OnNoResponse(home, At(now_));
            if (has_reports) {
              nodes_[at].gate->OnNoResponse({kAccount});
            }
            SendDue(at);
          }
        });
    Schedule(now_ + Delay(at, to),
             [this, at, to, home, request, last, sent, is_current] {
               if (!Connected(at, to)) {
                 return;
               }
               if (nodes_[to].is_dead) {
                 if (is_current() && !pattern_.loses_power) {
                   // The host refuses the connection.
                   nodes_[at].in_flight.erase(home);
                   nodes_[at].homes.OnNodeEnded(home, At(now_));
                   SendDue(at);
                 }
                 return;
               }
               const AllowanceResponse response =
                   nodes_[to].ledger->OnRequest(request, At(now_));
               Schedule(now_ + Delay(to, at), [this, at, to, home, response,
                                               last, sent, is_current] {
                 if (!is_current() || !Connected(at, to)) {
                   return;
                 }
                 Node& node = nodes_[at];
                 node.in_flight.erase(home);
                 node.homes.OnResponse(home);
                 node.gate->OnResponse(home, response, At(sent), At(now_));
                 if (!response.grants.empty()) {
                   Resolve(at, last);
                 }
                 SendDue(at);
               });
             });
  }

  double Bound(double end) const {
    // A lower limit applies one window after it is in force.
    const AllowanceLimit& limit =
        end >= pattern_.lower_at + kBounds.window.count() / 1000.0
            ? pattern_.lower
            : pattern_.limit;
    return limit.Base(kBounds) + limit.Margin(kBounds);
  }

  void Judge() {
    const double window = kBounds.window.count() / 1000.0;
    std::vector<double> admitted;
    size_t first = 0;
    for (size_t i = 0; i < calls_.size(); ++i) {
      const Call& call = calls_[i];
      if (call.admitted >= 0) {
        admitted.push_back(call.admitted);
      }
      if (!call.offered) {
        continue;
      }
      while (calls_[first].time < call.time - window) {
        ++first;
      }
      ++figures_.offered;
      figures_.refused += call.refused;
      const AllowanceLimit& limit =
          call.time >= pattern_.lower_at ? pattern_.lower : pattern_.limit;
      figures_.wrongly_refused +=
          call.refused &&
          static_cast<double>(i - first + 1) <= limit.Base(kBounds);
    }
    std::sort(admitted.begin(), admitted.end());
    for (size_t begin = 0, end = 0; end < admitted.size(); ++end) {
      while (admitted[begin] <= admitted[end] - window) {
        ++begin;
      }
      figures_.excess =
          std::max(figures_.excess,
                   static_cast<double>(end - begin + 1) - Bound(admitted[end]));
    }
  }

  struct Call {
    double time;
    bool offered;
    double admitted;
    bool refused = false;
    Call(double arrival, bool is_offered, double admission, bool)
        : time(arrival), offered(is_offered), admitted(admission) {}
  };

  const Pattern pattern_;
  std::mt19937_64 random_;
  std::vector<Node> nodes_;
  std::map<NodeId, int> index_;
  int first_home_ = 0;
  double now_ = 0;
  uint64_t order_ = 0;
  std::priority_queue<Event> events_;
  std::vector<Call> calls_;
  Figures figures_;
};

}  // namespace allowance_model

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_TESTS_ALLOWANCE_MODEL_H_
