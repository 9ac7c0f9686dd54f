#ifndef DRAGONFLYTACK_TESTS_HOP_MODEL_H_
#define DRAGONFLYTACK_TESTS_HOP_MODEL_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "dragonflytack/base/random.h"
#include "onetime/attempt_guard.h"
#include "onetime/attempt_numbers.h"

namespace dragonflytack {

// What the proof rests on; a mutant switches one of them off.
struct HopRules final {
  // The target runs only calls that name it and its start.
  bool target_checks_its_name = true;
  // An entry counts a call as not run only if the node beside the target says
  // that it was not passed on.
  bool needs_proof_of_not_run = true;
  // A call of which a byte may have reached a target is not sent again.
  bool keeps_to_one_send = true;
  // The node beside the target starts an attempt once.
  bool guards_attempts = true;
  // It refuses attempts that were meant for its earlier process.
  bool checks_own_start = true;
};

// One seeded schedule of one-time calls without a key: entries send them over a
// hop to nodes beside targets. Messages are lost, late and repeated; nodes are
// restarted beside targets that live on; targets start again under their old
// address, also as another service.
class HopModel final {
 public:
  HopModel(uint64_t seed, const HopRules& rules);
  HopModel(const HopModel&) = delete;
  HopModel& operator=(const HopModel&) = delete;

  // Returns what was violated, empty when nothing was.
  std::string Run();

  struct Coverage final {
    uint64_t executed = 0, told_not_run = 0, unknown = 0, sent_again = 0,
             no_proof = 0, misdirected = 0;
  };
  const Coverage& coverage() const { return coverage_; }

 private:
  enum class Outcome { kDone, kNotRun, kUnknown };
  struct Call {
    int executions = 0;
    int sends = 0;
    // The attempt whose answer counts.
    uint64_t waits_for = 0;
    bool ended = false;
    bool told_not_run = false;
  };
  struct Target {
    uint64_t start = 1;
    bool offers_service = true;
  };
  // The node beside a target.
  struct Node {
    uint64_t incarnation = 1;
    std::unique_ptr<AttemptGuard> guard;
    // The start of the target that announced itself last.
    uint64_t known_start = 1;
  };
  struct Event {
    int step;
    std::function<void()> run;
  };

  void After(int most_steps, std::function<void()> run);
  // Delivers a message after some steps, not at all, or twice.
  void Deliver(const std::function<void()>& run);
  void Send(Call* call);
  void OnAttempt(Call* call, int node, const AttemptId& id, uint64_t number);
  void OnTarget(Call* call,
                int node,
                const AttemptId& id,
                uint64_t number,
                uint64_t named_start);
  void Reply(Call* call, uint64_t number, Outcome outcome);
  void OnOutcome(Call* call, uint64_t number, Outcome outcome);
  void End(Call* call, bool not_run);
  void RestartNode(int node);
  void RestartTarget(int node);

  static constexpr int kNodes = 3;
  static constexpr int kCalls = 6;
  static constexpr int kMaxSends = 3;
  // Longer than any message is on its way.
  static constexpr int kSteps = 200;

  const HopRules rules_;
  Random random_;
  int step_ = 0;
  uint64_t attempts_ = 0;
  std::vector<Event> events_;
  std::vector<Call> calls_{kCalls};
  std::vector<Target> targets_{kNodes};
  std::vector<Node> nodes_;
  AttemptNumbers numbers_{"entry", 1};
  std::string violation_;
  Coverage coverage_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_TESTS_HOP_MODEL_H_
