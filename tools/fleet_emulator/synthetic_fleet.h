#ifndef TOOLS_FLEET_EMULATOR_SYNTHETIC_FLEET_H_
#define TOOLS_FLEET_EMULATOR_SYNTHETIC_FLEET_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "distribution/messages.h"
#include "dragonflytack/base/random.h"
#include "dragonflytack/base/timer_service.h"
#include "dragonflytack/registry/node_record.h"

namespace dragonflytack {

// Records of nodes that have no process, and their churn: restarts and failures
// as the messages that real nodes would send about them.
class SyntheticFleet final {
 public:
  static constexpr const char* kRegion = "emulated";
  // Data centres of the two-year size.
  static constexpr int kDataCentres = 11;
  // Churn of the two-year size.
  static constexpr double kRestartsPerDay = 540;
  static constexpr double kFailuresPerDay = 26;

  struct Options {
    int nodes = 0;
    int services = 0;
    // First two bytes of all addresses.
    std::string network;
    uint16_t peer_port = 0;
    // Nodes that rank before this one in the region are left out, so that the
    // gateways keep the first ranks.
    NodeId last_gateway;
  };

  // Takes messages about synthetic nodes to a real core.
  using Sink = std::function<void(const Message& message)>;

  // `timers` must outlive it.
  SyntheticFleet(const Options& options, TimerService* timers, Sink sink);
  SyntheticFleet(const SyntheticFleet&) = delete;
  SyntheticFleet& operator=(const SyntheticFleet&) = delete;

  // Sends all records, in batches.
  void SendAll();

  // Starts churn at `multiple` times the daily pace.
  void StartChurn(double multiple);
  // Ends churn; restarts under way go on to their end.
  void StopChurn();
  bool churning() const { return churn_timer_ != 0; }

  // Record updates and suspicions sent by churn so far.
  uint64_t updates() const { return updates_; }
  const std::vector<NodeRecord>& records() const { return records_; }

 private:
  static constexpr Milliseconds kChurnStep{100};

  // One step of a node's restart.
  struct Step {
    Milliseconds after;
    TargetState state;
    bool new_incarnation;
  };

  void SendFrom(size_t first);
  void ChurnStep();
  void Restart(size_t index);
  void Fail(size_t index);
  void RunSteps(size_t index, std::vector<Step> steps);
  void Update(size_t index, const Step& step);
  size_t PickIdle();

  TimerService* const timers_;
  const Sink sink_;
  std::vector<NodeRecord> records_;
  // Nodes in the middle of a restart or failure.
  std::vector<bool> busy_;
  Random random_;
  double events_per_step_ = 0;
  double due_events_ = 0;
  TimerId churn_timer_ = 0;
  uint64_t updates_ = 0;
};

}  // namespace dragonflytack

#endif  // TOOLS_FLEET_EMULATOR_SYNTHETIC_FLEET_H_
