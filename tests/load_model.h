#ifndef DRAGONFLYTACK_TESTS_LOAD_MODEL_H_
#define DRAGONFLYTACK_TESTS_LOAD_MODEL_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <vector>

#include "dragonflytack/base/clock.h"
#include "dragonflytack/routing/target_load.h"

namespace dragonflytack::load_model {

// Three regions with two data centres each, as in docs/design/README.md.
inline constexpr int kDataCentres = 6;
inline constexpr int kDataCentresPerRegion = 2;

// Network times in milliseconds.
inline constexpr double kOneWayInDataCentre = 0.2;
inline constexpr double kOneWayInRegion = 1.4;
inline constexpr double kOneWayBetweenRegions = 8;

// Run time of a call at a target of speed 1: log-normal, with a p99 of 1.4 s.
inline constexpr double kMeanRunTime = 230;
inline constexpr double kRunTimeSigma = 1;

// A target works 2.5 times slower for 15% of the time, for about 600 ms each.
inline constexpr double kSlowFactor = 2.5;
inline constexpr double kSlowShare = 0.15;
inline constexpr double kSlowMillis = 600;

// Times in seconds: figures are taken from kWarmUp on; changes of a pattern
// take effect at kChange.
inline constexpr double kWarmUp = 12;
inline constexpr double kChange = 4;

// What happens in one run of the model.
struct Pattern final {
  int nodes = 72;
  int targets = 32;
  int slots = 9;
  // Demand divided by what all targets can run.
  double load = 0.9;
  double seconds = 45;
  // Speeds are spread evenly over this range.
  double slowest = 0.6;
  double fastest = 1.6;
  // The first target works four times slower from kChange on.
  bool has_slow_target = false;
  // Of the calls of the first target, 60% fail within 5 ms from kChange on.
  bool has_failing_target = false;
  // The first target joins at kWarmUp.
  bool has_cold_target = false;
  // The first target reports no load, and work that takes no time.
  bool has_false_target = false;
  // Demand of the first data centre compared to each of the others.
  double zone_factor = 1;
};

// Where nodes and targets stand, and what the targets are.
struct Site final {
  static int DataCentreOf(int index) { return index % kDataCentres; }
  static int RegionOf(int index) {
    return DataCentreOf(index) / kDataCentresPerRegion;
  }
  static double OneWay(int node, int target) {
    if (DataCentreOf(node) == DataCentreOf(target)) {
      return kOneWayInDataCentre;
    }
    return RegionOf(node) == RegionOf(target) ? kOneWayInRegion
                                              : kOneWayBetweenRegions;
  }

  Pattern pattern;
  std::vector<double> speeds;
};

// State of a target, of which only a chooser with complete information knows.
struct SimulatedTarget final {
  int slots = 0;
  double speed = 1;
  // Work takes this many times as long as usual.
  double slowness = 1;
  int in_transit = 0;
  int running = 0;
  bool failing = false;
  bool joined = true;
  // Calls by their index.
  std::deque<size_t> waiting;
};

// What a node learns from a response.
struct Response final {
  int target = 0;
  TargetLoad load{0, 0, 1};
  // Calls per slot, running and waiting, as counted beside the target.
  double occupancy = 0;
  bool failed = false;
  // Time since the call was sent.
  double latency_ms = 0;
};

// The choice of targets at one node.
class Chooser {
 public:
  virtual ~Chooser() = default;
  // Returns the index of the target of the next call.
  virtual int Choose() = 0;
  virtual void OnSent(int target) = 0;
  virtual void OnResponse(const Response& response) = 0;
  virtual void OnJoined(int /*target*/) {}
};

struct Figures final {
  // Calls run by a target divided by its speed and slots: the highest to the
  // mean.
  double busiest_to_mean = 0;
  // Time from the choice to the start of the work, beyond that of a call to an
  // idle target in the data centre of the node, in milliseconds.
  double wait_p50 = 0;
  double wait_p99 = 0;
  double wait_mean = 0;
  // Standard deviation, over time, of the calls per slot of a target.
  double oscillation = 0;
  // Share of the calls that left the region.
  double left_region = 0;
  // Calls of the first target, divided by the mean of the others.
  double first_target_share = 0;
  // The same in the first second after kWarmUp.
  double first_target_share_at_once = 0;
  // Age of the last report at a choice, mean in milliseconds.
  double report_age = 0;
};

class LoadModel;

// Creates the chooser of the node with this index.
using ChooserFactory =
    std::function<std::unique_ptr<Chooser>(const LoadModel& model, int node)>;

// A discrete-event simulation of the nodes and targets of one service.
class LoadModel final : public Clock {
 public:
  LoadModel(const Pattern& pattern, uint64_t seed);

  Figures Run(const ChooserFactory& factory);

  // The time of the simulation.
  TimePoint Now() const override;
  int64_t WallMillis() const override {
    return 1'700'000'000'000 + static_cast<int64_t>(now_);
  }

  const Site& site() const { return site_; }
  const std::vector<SimulatedTarget>& targets() const { return targets_; }
  uint64_t seed() const { return seed_; }
  double now_ms() const { return now_; }

 private:
  enum class EventKind { kCall, kArrival, kEnd, kResponse, kSpeed, kSample };
  struct Event {
    double time;
    EventKind kind;
    // Index of the node, call or target.
    size_t index;
    bool operator>(const Event& other) const { return time > other.time; }
  };
  struct Call {
    int node;
    int target;
    double sent;
    double start;
    // Run time at a target of speed 1.
    double work;
    Response response;
  };

  void Schedule(double delay, EventKind kind, size_t index) {
    events_.push({now_ + delay, kind, index});
  }
  double Exponential(double mean) {
    return std::exponential_distribution<double>(1 / mean)(random_);
  }
  void Handle(const Event& event);
  void SendCall(int node);
  void StartCall(size_t index);
  void EndCall(size_t index);
  void ChangeSpeed(int target);
  void Sample();
  void ApplyChanges();
  bool IsMeasured() const { return now_ >= kWarmUp * 1000; }
  Figures Summarise();

  const uint64_t seed_;
  std::mt19937_64 random_;
  Site site_;
  std::vector<SimulatedTarget> targets_;
  std::vector<double> node_intervals_;
  std::vector<std::unique_ptr<Chooser>> choosers_;
  std::vector<Call> calls_;
  std::priority_queue<Event, std::vector<Event>, std::greater<Event>> events_;
  double now_ = 0;
  bool has_changed_ = false;
  bool has_joined_ = false;
  // Since kWarmUp.
  std::vector<double> waits_;
  std::vector<double> run_calls_;
  std::vector<double> run_calls_at_once_;
  // Sums of the calls per slot of each target and of their squares.
  std::vector<double> occupancy_sums_;
  std::vector<double> occupancy_squares_;
  int samples_ = 0;
  size_t sent_ = 0;
  size_t left_region_ = 0;
  // When each node last got a response of each target.
  std::vector<std::vector<double>> reported_at_;
  double age_sum_ = 0;
  size_t ages_ = 0;
};

// The chooser with complete information: takes the target with the least
// expected wait, counting the distance.
std::unique_ptr<Chooser> MakeOracle(const LoadModel& model, int node);

// The choice of the product: ServicePool with its endpoints.
std::unique_ptr<Chooser> MakeProduct(const LoadModel& model, int node);

}  // namespace dragonflytack::load_model

#endif  // DRAGONFLYTACK_TESTS_LOAD_MODEL_H_
