#include "allowance_model.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

#include "accounts/allowance_timing.h"

namespace dragonflytack::allowance_model {

namespace {

constexpr double kTickSeconds = 0.1;
constexpr double kSweepSeconds = 1;
// The nodes agree that many nodes are dead after 3 s of silence and 12 s of
// suspicion.
constexpr double kDeathSeconds = 15;
constexpr double kStallPeriod = 0.2;
constexpr double kStallSeconds = 0.1;
// HTTP head, and the headers of TCP and IP of two packets.
constexpr size_t kRequestHeadBytes = 240;
constexpr size_t kResponseHeadBytes = 220;
// Longer than a response of the agent takes that has permits.
constexpr double kLongWait = 0.01;
constexpr double kTimerDelay = 0.001;
constexpr char kKey[] = "key";

TimePoint At(double seconds) {
  return TimePoint(std::chrono::duration_cast<TimePoint::duration>(
      std::chrono::duration<double>(1'000 + seconds)));
}

double Seconds(TimePoint time) {
  return std::chrono::duration<double>(time - At(0)).count();
}

NodeId Name(int node) {
  return "node-" + std::to_string(node);
}

AllowanceHomes::Node Location(int node) {
  return {Name(node), "dc-" + std::to_string(DataCentreOf(node))};
}

}  // namespace

Model::Model(const Pattern& pattern, uint64_t seed)
    : pattern_(pattern), random_(seed), nodes_(kNodes) {
  if (pattern.rates.empty()) {
    accounts_.emplace_back(kAccount);
  }
  for (size_t i = 0; i < pattern.rates.size(); ++i) {
    accounts_.push_back("account-" + std::to_string(i));
  }
  AllowanceHomes homes;
  homes.SetNodes(Names(1e9));
  for (int i = 0; i < kNodes; ++i) {
    index_[Name(i)] = i;
    nodes_[i].is_late = pattern_.is_late(i, homes.Contains(Name(i)));
    nodes_[i].phase = Uniform() * kStallPeriod;
  }
  first_home_ = index_[homes.Find(kAccount).node];
  for (int i = 0; i < kNodes; ++i) {
    nodes_[i].is_paused = pattern_.is_paused(i, first_home_);
    Start(i);
    if (pattern_.joins_at(i) > 0) {
      Schedule(pattern_.joins_at(i), [this] { SetNodes(Names(now_), {}); });
    }
  }
}

std::vector<AllowanceHomes::Node> Model::Names(double time) const {
  std::vector<AllowanceHomes::Node> names;
  for (int i = 0; i < kNodes; ++i) {
    if (pattern_.joins_at(i) <= time) {
      names.push_back(Location(i));
    }
  }
  return names;
}

Figures Model::Run() {
  for (int i = 0; i < kNodes; ++i) {
    Schedule(Uniform() * kTickSeconds, [this, i] { Tick(i); });
    Schedule(Uniform() * kSweepSeconds, [this, i] { Sweep(i); });
  }
  Schedule(pattern_.calls_from, [this] { ScheduleCall(); });
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

double Model::Uniform() {
  return std::uniform_real_distribution<double>(0, 1)(random_);
}

void Model::Schedule(double time, std::function<void()> action) {
  events_.push({time, order_++, std::move(action)});
}

double Model::WhenRunning(int node, double time) const {
  if (nodes_[node].is_paused && time >= pattern_.pause_from &&
      time < pattern_.pause_to) {
    time = pattern_.pause_to;
  }
  if (!nodes_[node].is_late) {
    return time;
  }
  const double part = std::fmod(time + nodes_[node].phase, kStallPeriod);
  // What is due during the stall follows in its order.
  return part < kStallSeconds ? time + (kStallSeconds - part) * (1 - 1e-4)
                              : time;
}

void Model::ScheduleAt(int node, double time, std::function<void()> action) {
  Schedule(WhenRunning(node, time), [this, node,
                                     incarnation = nodes_[node].incarnation,
                                     action = std::move(action)] {
    if (!nodes_[node].is_dead && nodes_[node].incarnation == incarnation) {
      action();
    }
  });
}

void Model::Start(int i) {
  Node& node = nodes_[i];
  ++node.incarnation;
  node.core =
      std::make_unique<AllowanceNode>(Name(i), node.incarnation, kBounds);
  node.is_dead = false;
  node.in_flight.clear();
  node.requests.clear();
  node.waiting.clear();
  node.next_deadline = 1e18;
  node.core->set_has_agent(!pattern_.has_no_agent(i));
  node.core->SetNodes(Names(now_), At(now_));
}

void Model::SetNodes(const std::vector<AllowanceHomes::Node>& names,
                     const std::unordered_set<NodeId>& dead) {
  for (int i = 0; i < kNodes; ++i) {
    // The change spreads within a second.
    ScheduleAt(i, now_ + Uniform() * 0.5, [this, i, names, dead] {
      for (const NodeId& name : dead) {
        nodes_[i].core->OnNodeDead(name);
      }
      nodes_[i].core->SetNodes(names, At(now_));
      Pump(i);
    });
  }
}

void Model::Kill() {
  std::vector<AllowanceHomes::Node> alive;
  std::unordered_set<NodeId> dead;
  for (int i = 0; i < kNodes; ++i) {
    if (pattern_.is_killed(i, first_home_)) {
      nodes_[i].is_dead = true;
      for (const auto& [ticket, call] : nodes_[i].waiting) {
        calls_[call.first].is_offered = false;
      }
      nodes_[i].waiting.clear();
      dead.insert(Name(i));
    } else {
      alive.push_back(Location(i));
    }
  }
  if (now_ + kDeathSeconds < pattern_.restart_at) {
    Schedule(now_ + kDeathSeconds,
             [this, alive, dead] { SetNodes(alive, dead); });
  }
}

void Model::Restart() {
  for (int i = 0; i < kNodes; ++i) {
    if (nodes_[i].is_dead) {
      Start(i);
    }
  }
  SetNodes(Names(now_), {});
}

bool Model::Connected(int a, int b) const {
  if (now_ < pattern_.cut_from || now_ >= pattern_.cut_to) {
    return true;
  }
  const auto is_cut = [this](int node) {
    return RegionOf(node) == pattern_.cut_region ||
           DataCentreOf(node) == pattern_.cut_data_centre;
  };
  return is_cut(a) == is_cut(b);
}

double Model::Delay(int a, int b) {
  const double base = a == b ? 0 : RegionOf(a) == RegionOf(b) ? 0.0014 : 0.008;
  return base + Uniform() * 0.002;
}

AllowanceLimit Model::LimitOf(int account, double time) const {
  if (!pattern_.rates.empty()) {
    return {1,
            static_cast<int>(
                std::ceil(pattern_.rates[account] / pattern_.rates_to_limits)),
            0};
  }
  return time >= pattern_.lower_at ? pattern_.lower : pattern_.limit;
}

void Model::ScheduleCall() {
  const double rate =
      pattern_.rates.empty()
          ? pattern_.demand(now_)
          : std::accumulate(pattern_.rates.begin(), pattern_.rates.end(), 0.0);
  Schedule(now_ + std::exponential_distribution<double>(std::max(rate, 0.01))(
                      random_),
           [this] { Arrive(); });
}

void Model::Arrive() {
  ScheduleCall();
  int to = pattern_.entry(now_, random_);
  while (nodes_[to].is_dead ||
         WhenRunning(to, now_) > now_ + 2 * kStallPeriod) {
    to = (to + 7) % kNodes;
  }
  int account = 0;
  if (!pattern_.rates.empty()) {
    account = std::discrete_distribution<int>(pattern_.rates.begin(),
                                              pattern_.rates.end())(random_);
  }
  ScheduleAt(to, now_, [this, to, account] {
    const int id = static_cast<int>(calls_.size());
    calls_.push_back({now_, account});
    uint64_t ticket = 0;
    const AllowanceGate::Answer answer = nodes_[to].core->Ask(
        accounts_[account], LimitOf(account, now_), At(now_), &ticket);
    if (answer.decision == AllowanceGate::Decision::kWaits) {
      ++figures_.waited;
      nodes_[to].waiting[ticket] = {id, now_};
    } else {
      Decide(to, id, answer);
    }
    Pump(to);
  });
}

void Model::Decide(int, int call, const AllowanceGate::Answer& answer) {
  if (answer.decision == AllowanceGate::Decision::kAdmitted) {
    calls_[call].admitted = now_;
  } else {
    calls_[call].is_refused = true;
  }
}

void Model::Tick(int i) {
  Schedule(now_ + kTickSeconds, [this, i] { Tick(i); });
  ScheduleAt(i, now_, [this, i] {
    nodes_[i].core->Tick(At(now_));
    Pump(i);
  });
}

void Model::Sweep(int i) {
  Schedule(now_ + kSweepSeconds, [this, i] { Sweep(i); });
  ScheduleAt(i, now_, [this, i] {
    AllowanceNode& core = *nodes_[i].core;
    core.Sweep(At(now_));
    for (const NodeId& lost : core.LostNodes()) {
      if (nodes_[index_[lost]].is_dead && !pattern_.loses_power) {
        core.OnNodeEnded(lost, At(now_));
      }
    }
    Pump(i);
  });
}

void Model::Pump(int i) {
  Node& node = nodes_[i];
  for (const AllowanceNode::Message& message : node.core->TakeMessages()) {
    Send(i, message);
  }
  for (const AllowanceNode::Reply& reply : node.core->TakeReplies()) {
    const auto found = node.requests.find(reply.id);
    if (found != node.requests.end()) {
      const auto respond = std::move(found->second);
      node.requests.erase(found);
      respond(reply.response);
    }
  }
  for (const AllowanceNode::Decision& decision : node.core->TakeDecisions()) {
    const auto found = node.waiting.find(decision.ticket);
    if (found != node.waiting.end()) {
      const auto [call, since] = found->second;
      node.waiting.erase(found);
      figures_.waited_long += now_ - since > kLongWait;
      figures_.longest_wait_ms =
          std::max(figures_.longest_wait_ms, (now_ - since) * 1000);
      Decide(i, call, decision.answer);
    }
  }
  const auto next = node.core->NextDeadline();
  if (next && Seconds(*next) != node.next_deadline) {
    node.next_deadline = Seconds(*next);
    ScheduleAt(i, std::max(node.next_deadline, now_) + kTimerDelay, [this, i] {
      nodes_[i].core->Tick(At(now_));
      Pump(i);
    });
  }
}

void Model::CountBytes(int a, int b, size_t bytes) {
  if (RegionOf(a) != RegionOf(b)) {
    figures_.bytes_between_regions += static_cast<double>(bytes);
  }
}

void Model::Send(int from, const AllowanceNode::Message& message) {
  const int to = index_[message.to];
  ++figures_.messages;
  figures_.messages_between_regions += RegionOf(from) != RegionOf(to);
  CountBytes(from, to, kRequestHeadBytes + message.request.Encode(kKey).size());
  nodes_[from].in_flight.insert(message.id);
  // After a stall, responses that have arrived are read before timers.
  ScheduleAt(
      from,
      now_ + static_cast<double>(message.timeout.count()) / 1000 + kTimerDelay,
      [this, from, id = message.id] {
        if (nodes_[from].in_flight.erase(id) > 0) {
          nodes_[from].core->OnNoResponse(id, At(now_));
          Pump(from);
        }
      });
  Schedule(now_ + Delay(from, to),
           [this, from, to, message] { Deliver(from, to, message); });
}

void Model::Deliver(int from, int to, const AllowanceNode::Message& message) {
  if (!Connected(from, to)) {
    return;
  }
  if (nodes_[to].is_dead) {
    if (!pattern_.loses_power) {
      // The host refuses the connection.
      ScheduleAt(from, now_ + Delay(to, from),
                 [this, from, to, id = message.id] {
                   if (nodes_[from].in_flight.erase(id) > 0) {
                     nodes_[from].core->OnNoResponse(id, At(now_));
                     nodes_[from].core->OnNodeEnded(Name(to), At(now_));
                     Pump(from);
                   }
                 });
    }
    return;
  }
  ScheduleAt(to, now_, [this, from, to, message] {
    const uint64_t request =
        nodes_[to].core->OnRequest(message.request, At(now_));
    nodes_[to].requests[request] = [this, from, to, id = message.id](
                                       const AllowanceResponse& response) {
      CountBytes(to, from, kResponseHeadBytes + response.Encode(kKey).size());
      const double arrival = now_ + Delay(to, from);
      ScheduleAt(from, arrival, [this, from, to, id, response] {
        if (Connected(to, from) && nodes_[from].in_flight.erase(id) > 0) {
          nodes_[from].core->OnResponse(id, response, At(now_));
          Pump(from);
        }
      });
    };
    Pump(to);
  });
}

void Model::Judge() {
  for (size_t i = 0; i < accounts_.size(); ++i) {
    JudgeAccount(static_cast<int>(i));
  }
}

void Model::JudgeAccount(int account) {
  const double window = kBounds.window.count() / 1000.0;
  std::vector<Call> calls;
  std::copy_if(calls_.begin(), calls_.end(), std::back_inserter(calls),
               [account](const Call& call) { return call.account == account; });
  std::vector<double> admitted;
  size_t first = 0;
  for (size_t i = 0; i < calls.size(); ++i) {
    const Call& call = calls[i];
    if (call.admitted >= 0) {
      admitted.push_back(call.admitted);
    }
    if (!call.is_offered) {
      continue;
    }
    while (calls[first].time < call.time - window) {
      ++first;
    }
    ++figures_.offered;
    figures_.refused += call.is_refused;
    figures_.wrongly_refused +=
        call.is_refused && static_cast<double>(i - first + 1) <=
                               LimitOf(account, call.time).Base(kBounds);
  }
  std::sort(admitted.begin(), admitted.end());
  for (size_t begin = 0, end = 0; end < admitted.size(); ++end) {
    while (admitted[begin] <= admitted[end] - window) {
      ++begin;
    }
    // A lower limit applies one window after it is in force.
    const AllowanceLimit limit = LimitOf(account, admitted[end] - window);
    const double bound = limit.Base(kBounds) + limit.Margin(kBounds);
    figures_.excess =
        std::max(figures_.excess, static_cast<double>(end - begin + 1) - bound);
  }
}

}  // namespace dragonflytack::allowance_model
