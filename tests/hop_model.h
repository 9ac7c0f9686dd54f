#ifndef DRAGONFLYTACK_TESTS_HOP_MODEL_H_
#define DRAGONFLYTACK_TESTS_HOP_MODEL_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "dragonflytack/base/random.h"
#include "onetime/attempt_guard.h"
#include "onetime/attempt_id_generator.h"

namespace dragonflytack {

// The rules that keep a call from running twice. Each mutant disables one of
// them.
struct HopRules final {
  // The target runs only calls that name it and its current start.
  bool target_checks_instance = true;
  // The entry node reports a call as not run only if the node beside the target
  // reported that it was not passed on.
  bool not_run_requires_proof = true;
  // A call of which a byte may have reached a target is not retried.
  bool no_retry_after_unknown = true;
  // The node beside the target starts an attempt at most once.
  bool node_guards_attempts = true;
  // The node beside the target refuses attempts addressed to its earlier
  // process.
  bool node_checks_incarnation = true;
};

// Simulates one seeded schedule of one-time calls without a key, sent by an
// entry node to nodes beside targets. Messages are lost, delayed and
// duplicated; nodes are restarted while their targets continue to run; targets
// are restarted at the same address, possibly as another service.
class HopModel final {
 public:
  HopModel(uint64_t seed, const HopRules& rules);
  HopModel(const HopModel&) = delete;
  HopModel& operator=(const HopModel&) = delete;

  // Returns a description of the first violation, or an empty string if there
  // was none.
  std::string Run();

  struct Coverage final {
    uint64_t executed = 0, reported_not_run = 0, unknown = 0, retried = 0,
             rejected_as_unknown = 0, misdirected = 0;
  };
  const Coverage& coverage() const { return coverage_; }

 private:
  enum class Outcome { kDone, kNotRun, kUnknown };
  struct Call {
    int executions = 0;
    int attempts = 0;
    // Responses to other attempts are ignored.
    uint64_t current_attempt = 0;
    bool finished = false;
    bool reported_not_run = false;
  };
  struct Target {
    uint64_t start = 1;
    bool offers_service = true;
  };
  // The node beside a target.
  struct Node {
    uint64_t incarnation = 1;
    std::unique_ptr<AttemptGuard> guard;
    // The target's start number in the last heartbeat that the node received.
    uint64_t known_start = 1;
  };
  struct Event {
    int step;
    std::function<void()> run;
  };

  void ScheduleWithin(int max_steps, std::function<void()> run);
  // Delivers a message after some steps, never, or twice.
  void DeliverUnreliably(const std::function<void()>& run);
  void SendAttempt(Call* call);
  void OnAttempt(Call* call, int node, const AttemptId& id, uint64_t number);
  void OnTarget(Call* call,
                int node,
                const AttemptId& id,
                uint64_t number,
                uint64_t expected_start);
  void Reply(Call* call, uint64_t number, Outcome outcome);
  void OnOutcome(Call* call, uint64_t number, Outcome outcome);
  void FinishCall(Call* call, bool not_run);
  void RestartNode(int node);
  void RestartTarget(int node);

  static constexpr int kNodes = 3;
  static constexpr int kCalls = 6;
  static constexpr int kMaxAttempts = 3;
  // Exceeds the delay of any message.
  static constexpr int kSteps = 200;

  const HopRules rules_;
  Random random_;
  int step_ = 0;
  uint64_t last_attempt_number_ = 0;
  std::vector<Event> events_;
  std::vector<Call> calls_{kCalls};
  std::vector<Target> targets_{kNodes};
  std::vector<Node> nodes_;
  AttemptIdGenerator attempt_ids_{"entry", 1};
  std::string violation_;
  Coverage coverage_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_TESTS_HOP_MODEL_H_
