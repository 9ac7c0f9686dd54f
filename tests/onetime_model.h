#ifndef DRAGONFLYTACK_TESTS_ONETIME_MODEL_H_
#define DRAGONFLYTACK_TESTS_ONETIME_MODEL_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "dragonflytack/base/random.h"
#include "dragonflytack/routing/route_snapshot.h"
#include "onetime/attempt_guard.h"
#include "onetime/attempt_numbers.h"
#include "onetime/claim.h"
#include "onetime/handover_receiver.h"
#include "onetime/handover_sender.h"
#include "onetime/one_time_records.h"

namespace dragonflytack {

// The rules that a mutant breaks. The defaults call the real classes.
struct ModelRules {
  virtual ~ModelRules() = default;
  virtual BeginDecision Begin(OneTimeRecords* records,
                              const OneTimeKey& key,
                              uint64_t request,
                              TimePoint now) {
    return records->Begin(key, request, now);
  }
  virtual AttemptGuard::Decision Admit(AttemptGuard* guard,
                                       const AttemptId& id,
                                       uint64_t /*own_incarnation*/,
                                       TimePoint now) {
    return guard->Admit(id, now);
  }
  virtual AttemptGuard::Decision Settle(AttemptGuard* guard,
                                        const AttemptId& id,
                                        TimePoint now) {
    return guard->Settle(id, now);
  }
  // The condition that the store checks a write against.
  virtual StoreVersion Condition(StoreVersion asked, StoreVersion /*current*/) {
    return asked;
  }
  // The time that a successor continues the clock of a set from.
  virtual int64_t HandoverTime(int64_t sent_ms) { return sent_ms; }
  virtual void HandoverLost(HandoverSender* sender, TimePoint now) {
    sender->OnNoReply(now);
  }
};

// One seeded schedule of a small fleet: every node is entry, home and the node
// beside a fake target that counts executions. Messages between them, and to
// the store, are lost, delayed, reordered and duplicated; nodes crash, restart
// with a jumped wall clock, pause, and stop with a handover.
class OneTimeModel final {
 public:
  OneTimeModel(uint64_t seed, ModelRules* rules, bool keep_steps);

  // Returns what was violated, empty when nothing was.
  std::string Run();
  const std::vector<std::string>& steps() const { return steps_; }

  // What the schedules reached, so that a test can tell that it covers them.
  struct Coverage {
    uint64_t executed = 0, done = 0, unknown = 0, not_run_key = 0,
             not_run_request = 0, inherited = 0, taken_over = 0;
  };
  const Coverage& coverage() const { return coverage_; }

 private:
  // A running process; messages to a process that ended are lost.
  struct Process {
    Process(int node, uint64_t incarnation, int64_t wall_ms, TimePoint now);
    const int node;
    OneTimeRecords records;
    AttemptGuard guard;
    AttemptNumbers numbers;
    std::unique_ptr<HandoverReceiver> receiver;
    std::unique_ptr<HandoverSender> sender;
    int handover_request = 0;
    std::map<std::string, std::vector<std::function<void()>>> waiting;
  };
  using ProcessPtr = std::shared_ptr<Process>;
  struct Node {
    ProcessPtr process;
    bool paused = false;
    // What this node knows of the fleet.
    std::shared_ptr<const RouteSnapshot> routes;
  };
  struct Action {
    std::optional<OneTimeKey> key;  // Nothing for a key that the caller chose.
    std::string name;
    uint64_t request = 0;
    int executions = 0;
    bool told_never = false;
    int presented = 0;
  };
  // One request of the caller at an entry.
  struct Call {
    int action = 0;
    ProcessPtr entry;
    std::unique_ptr<Claim> claim;
    int store_request = 0;
    int request = 0;
    int hops = 0;
    bool answered = false;
    bool told_not_run = false;
    bool executed = false;
  };
  using CallPtr = std::shared_ptr<Call>;
  // What the target's side reports to the home.
  enum class Result { kDone, kNotStarted, kTooOld };
  struct Message {
    int to;  // Node, or kStore.
    std::function<void()> deliver;
  };
  static constexpr int kStore = -1;
  static constexpr int kNodes = 4;

  // Nodes are named a, b, c and d.
  static NodeId NodeName(int node) { return NodeId(1, char('a' + node)); }
  static int NodeIndex(const NodeId& id) { return id[0] - 'a'; }

  bool Chance(int percent) { return random_.Below(100) < uint64_t(percent); }
  int AnyNode() { return int(random_.Below(kNodes)); }
  void Note(const std::string& step);
  void Violation(const std::string& what);

  // Runs `deliver` later with the process that `node` then runs; may lose or
  // copy it.
  void Request(int node, std::function<void(ProcessPtr)> deliver);
  // As Request(), for an answer: only the process that asked takes it.
  void Send(ProcessPtr to, std::function<void()> deliver);
  // Runs `deliver` later on `to`, never lost or copied.
  void Later(ProcessPtr to, std::function<void()> deliver);
  bool Runs(const ProcessPtr& process) const {
    return nodes_[process->node].process == process;
  }

  void Step();
  void DeliverOne();
  void Start(int node);
  void Stop(int node);
  void Pump(ProcessPtr process);
  void Publish(const std::function<void(RouteSnapshot*)>& change);
  void SetLocation(RouteSnapshot* routes, int node, bool alive);

  void Present(int action, int node);
  void OnClaimStep(CallPtr call, Claim::Step step);
  void Store(CallPtr call, bool put);
  void Route(CallPtr call, const OneTimeKey& key);
  void Forward(CallPtr call, const OneTimeKey& key, const NodeId& node);
  void AtHome(ProcessPtr owner,
              CallPtr call,
              const OneTimeKey& key,
              int request);
  void AtEntry(CallPtr call, const OneTimeKey& key, BeginDecision decision);
  void Answer(CallPtr call, const BeginDecision& decision);
  void Dispatch(ProcessPtr owner,
                CallPtr call,
                const OneTimeKey& key,
                uint32_t attempt);
  void AtTarget(ProcessPtr target,
                CallPtr call,
                const AttemptId& id,
                std::function<void(Result)> reply);
  void Execute(CallPtr call);
  void AtResult(ProcessPtr owner,
                CallPtr call,
                const OneTimeKey& key,
                uint32_t attempt,
                Result result);
  void Wake(ProcessPtr owner, const OneTimeKey& key);

  Random random_;
  ModelRules* const rules_;
  const bool keep_steps_;
  std::vector<std::string> steps_;
  std::string violation_;
  Coverage coverage_;
  TimePoint now_{std::chrono::hours(1)};
  uint64_t next_incarnation_ = 1;
  std::vector<Node> nodes_;
  std::shared_ptr<const RouteSnapshot> fleet_;
  std::vector<Message> messages_;
  std::vector<Action> actions_;
  bool store_down_ = false;
  StoreVersion store_version_ = 0;
  std::map<std::string, StoreObject> store_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_TESTS_ONETIME_MODEL_H_
