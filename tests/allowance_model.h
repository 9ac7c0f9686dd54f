#ifndef DRAGONFLYTACK_TESTS_ALLOWANCE_MODEL_H_
#define DRAGONFLYTACK_TESTS_ALLOWANCE_MODEL_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <unordered_set>
#include <vector>

#include "accounts/allowance_homes.h"
#include "accounts/allowance_limit.h"
#include "accounts/allowance_node.h"

namespace dragonflytack {

// A discrete-event model of 90 nodes that limit the calls of accounts, with the
// decision cores of the nodes and without network.
namespace allowance_model {

inline constexpr int kNodes = 90;
inline constexpr int kRegions = 3;
inline constexpr int kDataCentres = 6;
// The account of patterns with one account.
inline constexpr char kAccount[] = "account";
// The bounds of the deployment in docs/design/README.md.
inline constexpr AllowanceBounds kBounds{Milliseconds(5'000), 0.1, 20};

inline int RegionOf(int node) {
  return node % kRegions;
}
inline int DataCentreOf(int node) {
  return node % kDataCentres;
}

// What happens to the fleet.
struct Pattern {
  AllowanceLimit limit{1, 300, 0};
  double seconds = 60;
  // Calls per second of the whole account at a time.
  std::function<double(double)> demand;
  // Several accounts with these calls per second and the limit in proportion,
  // in place of `limit` and `demand`.
  std::vector<double> rates;
  double rates_to_limits = 0.8;
  double calls_from = 0;
  // The node at which a call arrives.
  std::function<int(double, std::mt19937_64&)> entry =
      [](double, std::mt19937_64& random) {
        return static_cast<int>(random() % kNodes);
      };
  // Region or data centre that is cut off during [from, to).
  int cut_region = -1;
  int cut_data_centre = -1;
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
  // Node that does nothing during [from, to), as its host is suspended.
  std::function<bool(int node, int home)> is_paused = [](int, int) {
    return false;
  };
  double pause_from = 1e9;
  double pause_to = 1e9;
  // Hosts that do nothing for 100 ms of each 200 ms.
  std::function<bool(int node, bool is_candidate)> is_late = [](int, bool) {
    return false;
  };
  // Nodes that ask the home nodes directly.
  std::function<bool(int node)> has_no_agent = [](int) { return false; };
  // When the other nodes learn of a node.
  std::function<double(int node)> joins_at = [](int) { return 0; };
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
  int waited = 0;
  int waited_long = 0;
  // Requests, and those to another region; the bytes of both directions.
  int messages = 0;
  int messages_between_regions = 0;
  double bytes_between_regions = 0;
  double longest_wait_ms = 0;

  double WrongShare() const {
    return offered == 0 ? 0 : static_cast<double>(wrongly_refused) / offered;
  }
};

class Model final {
 public:
  Model(const Pattern& pattern, uint64_t seed);

  Figures Run();

 private:
  struct Node {
    std::unique_ptr<AllowanceNode> core;
    // Calls that wait, by ticket, with their time of arrival.
    std::map<uint64_t, std::pair<int, double>> waiting;
    // Messages without a response.
    std::unordered_set<uint64_t> in_flight;
    // What to do with the reply to a request.
    std::map<uint64_t, std::function<void(const AllowanceResponse&)>> requests;
    double next_deadline = 1e18;
    uint64_t incarnation = 0;
    bool is_dead = false;
    bool is_late = false;
    bool is_paused = false;
    double phase = 0;
  };
  struct Event {
    double time;
    uint64_t order;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return time != other.time ? time > other.time : order > other.order;
    }
  };
  struct Call {
    double time = 0;
    int account = 0;
    bool is_offered = true;
    double admitted = -1;
    bool is_refused = false;
  };

  std::vector<AllowanceHomes::Node> Names(double time) const;
  double Uniform();
  void Schedule(double time, std::function<void()> action);
  // Runs an action at a node, later if its host stalls; not at all if the
  // process has ended meanwhile.
  void ScheduleAt(int node, double time, std::function<void()> action);
  double WhenRunning(int node, double time) const;
  void Start(int node);
  void SetNodes(const std::vector<AllowanceHomes::Node>& names,
                const std::unordered_set<NodeId>& dead);
  void Kill();
  void Restart();
  bool Connected(int a, int b) const;
  double Delay(int a, int b);
  AllowanceLimit LimitOf(int account, double time) const;
  void ScheduleCall();
  void Arrive();
  void Tick(int node);
  void Sweep(int node);
  // Sends and processes what the core of a node has produced.
  void Pump(int node);
  void Send(int from, const AllowanceNode::Message& message);
  void Deliver(int from, int to, const AllowanceNode::Message& message);
  void CountBytes(int a, int b, size_t bytes);
  void Decide(int node, int call, const AllowanceGate::Answer& answer);
  void Judge();
  void JudgeAccount(int account);

  const Pattern pattern_;
  std::vector<std::string> accounts_;
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
