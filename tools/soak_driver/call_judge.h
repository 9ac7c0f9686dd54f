#ifndef TOOLS_SOAK_DRIVER_CALL_JUDGE_H_
#define TOOLS_SOAK_DRIVER_CALL_JUDGE_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "soak_driver/call_record.h"
#include "soak_driver/node_life.h"
#include "soak_driver/soak_failure.h"

namespace dragonflytack {

// Compares what callers and targets saw with the promises of the mesh.
class CallJudge final {
 public:
  // Gets each broken promise.
  using Report = std::function<void(SoakFailure failure)>;

  // With `stops_only`, planned stops are the only faults, so that no outcome
  // may be unknown. With `accounts`, calls need an API key; `revoked` is when
  // the store had accepted that kRevokedApiKey ends. `epoch` is the time that
  // the texts count from. `executions` maps request ids to how often targets
  // ran them.
  CallJudge(const std::vector<CallRecord>& records,
            const std::vector<NodeLife>& lives,
            const std::map<std::string, int>& executions,
            SoakTime epoch,
            bool stops_only,
            bool accounts,
            std::optional<SoakTime> revoked,
            Report report);

  void Judge();

 private:
  void JudgeResponses();
  void JudgeOneTimeCalls();
  void JudgePlannedStops();
  void JudgeApiKeys();
  // Returns the process of the entry node that ran when the call was sent, or
  // null.
  const NodeLife* LifeOf(const CallRecord& record) const;
  // Returns whether the entry node of a call had to respond to it.
  bool IsResponseDue(const CallRecord& record) const;
  // Reports a broken promise that a call shows. With `by_time`, it broke
  // because the call took too long.
  void ReportCall(const std::string& text,
                  const CallRecord& record,
                  bool by_time = false) const;
  std::string Describe(const CallRecord& record) const;
  int Executions(const std::string& id) const;

  const std::vector<CallRecord>& records_;
  const std::vector<NodeLife>& lives_;
  const std::map<std::string, int>& executions_;
  const SoakTime epoch_;
  const bool stops_only_;
  const bool accounts_;
  const std::optional<SoakTime> revoked_;
  const Report report_;
  // When each life sent its first response.
  std::map<const NodeLife*, SoakTime> first_responses_;
};

}  // namespace dragonflytack

#endif  // TOOLS_SOAK_DRIVER_CALL_JUDGE_H_
