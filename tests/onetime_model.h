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
#include "onetime/attempt_id_generator.h"
#include "onetime/claim.h"
#include "onetime/handover_receiver.h"
#include "onetime/handover_sender.h"
#include "onetime/one_time_records.h"

namespace dragonflytack {

// The rules that a mutant overrides. The defaults call the classes under test.
struct ModelRules {
  virtual ~ModelRules() = default;
  virtual BeginDecision Begin(OneTimeRecords* records,
                              const OneTimeKey& key,
                              uint64_t request_digest,
                              TimePoint now) {
    return records->Begin(key, request_digest, now);
  }
  virtual AttemptGuard::Decision Admit(AttemptGuard* guard,
                                       const AttemptId& id,
                                       uint64_t /*own_incarnation*/,
                                       TimePoint now) {
    return guard->Admit(id, now);
  }
  virtual AttemptGuard::Decision RefuseUnlessSeen(AttemptGuard* guard,
                                                  const AttemptId& id,
                                                  TimePoint now) {
    return guard->RefuseUnlessSeen(id, now);
  }
  // Returns the version that the store requires for a write.
  virtual StoreVersion WriteCondition(StoreVersion requested,
                                      StoreVersion /*current*/) {
    return requested;
  }
  // Returns the time from which a successor continues the clock of a set.
  virtual int64_t HandoverTime(int64_t sent_ms) { return sent_ms; }
  virtual void OnHandoverReplyLost(HandoverSender* sender, TimePoint now) {
    sender->OnNoReply(now);
  }
};

// Simulates one seeded schedule of a small fleet. Every node is an entry node,
// an owner of keys and the node beside a fake target that counts executions.
// Messages between nodes and to the store are lost, delayed, reordered and
// duplicated; nodes crash, restart with a changed wall clock, pause, and stop
// with a handover.
class OneTimeModel final {
 public:
  OneTimeModel(uint64_t seed, ModelRules* rules, bool keep_steps);

  // Returns a description of the first violation, or an empty string if there
  // was none.
  std::string Run();
  const std::vector<std::string>& steps() const { return steps_; }

  // Counts the cases that occurred, so that a test can check its coverage.
  struct Coverage {
    uint64_t executed = 0, done = 0, unknown = 0, not_run_key = 0,
             not_run_request = 0, takeovers = 0, claim_takeovers = 0;
  };
  const Coverage& coverage() const { return coverage_; }

 private:
  // A running process. Messages to a process that has stopped are lost.
  struct Process {
    Process(int node, uint64_t incarnation, int64_t wall_ms, TimePoint now);
    const int node;
    OneTimeRecords records;
    AttemptGuard guard;
    AttemptIdGenerator attempt_ids;
    std::unique_ptr<HandoverReceiver> receiver;
    std::unique_ptr<HandoverSender> sender;
    int handover_request = 0;
    std::map<std::string, std::vector<std::function<void()>>> waiting;
  };
  using ProcessPtr = std::shared_ptr<Process>;
  struct Node {
    ProcessPtr process;
    bool paused = false;
    // The snapshot that this node has received.
    std::shared_ptr<const RouteSnapshot> routes;
  };
  struct Action {
    // std::nullopt for a key that the caller chose.
    std::optional<OneTimeKey> key;
    std::string name;
    uint64_t request_digest = 0;
    int executions = 0;
    bool key_reported_not_run = false;
    int presented = 0;
  };
  // One request of the caller at an entry node.
  struct Call {
    int action = 0;
    ProcessPtr entry;
    std::unique_ptr<Claim> claim;
    int store_request = 0;
    int request = 0;
    int hops = 0;
    bool responded = false;
    bool reported_not_run = false;
    bool executed = false;
  };
  using CallPtr = std::shared_ptr<Call>;
  // The result that the owner of the key records for an attempt: the report of
  // the node beside the target, or kUnknown after a timeout.
  enum class Result { kDone, kNotStarted, kUnknown };
  struct Message {
    int to;  // Node, or kStore.
    std::function<void()> deliver;
  };
  static constexpr int kStore = -1;
  static constexpr int kNodes = 4;

  // Returns "a", "b", "c" or "d".
  static NodeId NodeName(int node) { return NodeId(1, char('a' + node)); }
  static int NodeIndex(const NodeId& id) { return id[0] - 'a'; }

  bool Chance(int percent) { return random_.Below(100) < uint64_t(percent); }
  int RandomNode() { return int(random_.Below(kNodes)); }
  void RecordStep(const std::string& step);
  void Violation(const std::string& description);

  // Runs `deliver` later with the process that `node` then runs. The message
  // may be lost or duplicated.
  void SendRequest(int node, std::function<void(ProcessPtr)> deliver);
  // As SendRequest(), but for a reply, which only the requesting process
  // receives.
  void SendReply(ProcessPtr to, std::function<void()> deliver);
  // Runs `deliver` later on `to`. The message is never lost or duplicated.
  void Schedule(ProcessPtr to, std::function<void()> deliver);
  bool IsRunning(const ProcessPtr& process) const {
    return nodes_[process->node].process == process;
  }

  void Step();
  void DeliverOne();
  void Start(int node);
  void Stop(int node);
  void SendNextHandoverMessage(ProcessPtr process);
  void Publish(const std::function<void(RouteSnapshot*)>& change);
  void SetLocation(RouteSnapshot* routes, int node, bool alive);

  void PresentKey(int action, int node);
  void OnClaimStep(CallPtr call, Claim::Step step);
  void CallStore(CallPtr call, bool put);
  void Route(CallPtr call, const OneTimeKey& key);
  void Forward(CallPtr call, const OneTimeKey& key, const NodeId& node);
  void HandleAtOwner(ProcessPtr owner,
                     CallPtr call,
                     const OneTimeKey& key,
                     int request);
  void HandleAtEntry(CallPtr call,
                     const OneTimeKey& key,
                     BeginDecision decision);
  void Respond(CallPtr call, const BeginDecision& decision);
  void Dispatch(ProcessPtr owner,
                CallPtr call,
                const OneTimeKey& key,
                uint32_t attempt);
  void HandleAtTarget(ProcessPtr target,
                      CallPtr call,
                      const AttemptId& id,
                      std::function<void(Result)> reply);
  void Execute(CallPtr call);
  void HandleResult(ProcessPtr owner,
                    CallPtr call,
                    const OneTimeKey& key,
                    uint32_t attempt,
                    Result result);
  void NotifyWaiters(ProcessPtr owner, const OneTimeKey& key);

  Random random_;
  ModelRules* const rules_;
  const bool keep_steps_;
  std::vector<std::string> steps_;
  std::string violation_;
  Coverage coverage_;
  TimePoint now_{std::chrono::hours(1)};
  uint64_t next_incarnation_ = 1;
  std::vector<Node> nodes_;
  std::shared_ptr<const RouteSnapshot> published_routes_;
  std::vector<Message> messages_;
  std::vector<Action> actions_;
  bool store_down_ = false;
  StoreVersion store_version_ = 0;
  std::map<std::string, StoreObject> store_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_TESTS_ONETIME_MODEL_H_
