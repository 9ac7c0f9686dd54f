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

// Records of nodes that have no process, and their churn: restarts and
// failures, as the messages that a real fleet would send about them.
class SyntheticFleet final {
 public:
  static constexpr const char* kRegion = "emulated";
  // Number of data centres expected in two years.
  static constexpr int kDataCentres = 11;
  // Churn of the fleet size expected in two years.
  static constexpr double kRestartsPerDay = 540;
  static constexpr double kFailuresPerDay = 26;

  struct Options {
    int nodes = 0;
    int services = 0;
    // First two bytes of all addresses.
    std::string network;
    uint16_t peer_port = 0;
    // Nodes that would rank above this one in the region are omitted, so that
    // the gateways keep the highest ranks.
    NodeId last_gateway;
  };

  // Delivers messages about synthetic nodes to a real distribution core.
  using MessageSink = std::function<void(const Message& message)>;

  // `timers` must outlive the fleet.
  SyntheticFleet(const Options& options,
                 TimerService* timers,
                 MessageSink sink);
  SyntheticFleet(const SyntheticFleet&) = delete;
  SyntheticFleet& operator=(const SyntheticFleet&) = delete;

  // Sends all records in batches.
  void SendAll();

  // Starts churn at `multiple` times the expected daily rate.
  void StartChurn(double multiple);
  // Stops churn; restarts and failures in progress still complete.
  void StopChurn();
  bool churning() const { return churn_timer_ != 0; }

  // Number of record updates and suspicions that churn has sent.
  uint64_t updates() const { return updates_; }
  const std::vector<NodeRecord>& records() const { return records_; }

 private:
  static constexpr Milliseconds kChurnInterval{100};

  // One state transition during a node's restart.
  struct Transition {
    Milliseconds after;
    TargetState state;
    bool new_incarnation;
  };

  void SendFrom(size_t first);
  void StartPendingEvents();
  void SimulateRestart(size_t index);
  void SimulateFailure(size_t index);
  void RunTransitions(size_t index, std::vector<Transition> transitions);
  void Update(size_t index, const Transition& transition);
  size_t PickStableNode();

  TimerService* const timers_;
  const MessageSink sink_;
  std::vector<NodeRecord> records_;
  // For each node, whether a restart or failure is in progress.
  std::vector<bool> transitioning_;
  Random random_;
  double events_per_interval_ = 0;
  double pending_events_ = 0;
  TimerId churn_timer_ = 0;
  uint64_t updates_ = 0;
};

}  // namespace dragonflytack

#endif  // TOOLS_FLEET_EMULATOR_SYNTHETIC_FLEET_H_
