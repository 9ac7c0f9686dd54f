#include "soak_driver/call_judge.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace dragonflytack {

namespace {

// docs/design.md 8.6: the call port serves callers for 1 s after SIGTERM, or a
// quarter of the drain timeout if that is shorter. The margin is the time that
// a request takes to the daemon on a busy machine.
constexpr std::chrono::milliseconds kEntryGrace{1000};
constexpr std::chrono::milliseconds kGraceMargin{100};

// The calls that presented one key.
struct KeyCalls {
  int executions = 0;
  const CallRecord* last = nullptr;
  const CallRecord* done = nullptr;
  const CallRecord* refused = nullptr;  // Not run, for the key.
};

}  // namespace

CallJudge::CallJudge(const std::vector<CallRecord>& records,
                     const std::vector<NodeLife>& lives,
                     const std::map<std::string, int>& executions,
                     SoakTime epoch,
                     bool stops_only,
                     Report report)
    : records_(records),
      lives_(lives),
      executions_(executions),
      epoch_(epoch),
      stops_only_(stops_only),
      report_(std::move(report)) {
  for (const CallRecord& record : records_) {
    for (const NodeLife& life : lives_) {
      if (record.status != 0 && life.node == record.entry &&
          life.started <= record.sent &&
          (!life.exited || record.ended <= *life.exited)) {
        const auto [found, added] =
            first_responses_.emplace(&life, record.ended);
        found->second = std::min(found->second, record.ended);
      }
    }
  }
}

void CallJudge::Judge() {
  JudgeResponses();
  JudgeOneTimeCalls();
  if (stops_only_) {
    JudgePlannedStops();
  }
}

void CallJudge::JudgeResponses() {
  for (const CallRecord& record : records_) {
    if (record.status == 0 && IsResponseDue(record)) {
      report_("no response: " + Describe(record), record);
    }
    if (record.outcome == "done" && record.status == 200 &&
        !record.own_response) {
      report_("response to another request: " + Describe(record), record);
    }
    if (record.outcome == "not-run" && Executions(record.id) > 0) {
      report_("refused as not run, but run: " + Describe(record), record);
    }
  }
}

void CallJudge::JudgeOneTimeCalls() {
  std::map<std::string, KeyCalls> keys;
  for (const CallRecord& record : records_) {
    if (!record.one_time) {
      continue;
    }
    KeyCalls& calls = keys[record.key.empty() ? record.id : record.key];
    calls.executions += Executions(record.id);
    calls.last = &record;
    if (record.outcome == "done") {
      calls.done = &record;
    }
    if (record.outcome == "not-run" && record.scope == "key") {
      calls.refused = &record;
    }
  }
  for (const auto& [key, calls] : keys) {
    if (calls.executions > 1) {
      report_(
          fmt::format("one-time call run {} times: {}", calls.executions, key),
          *calls.last);
    }
    if (calls.done != nullptr && calls.executions == 0) {
      report_("reported as done, but not run: " + Describe(*calls.done),
              *calls.done);
    }
    if (calls.refused != nullptr && calls.executions > 0) {
      report_("key refused for good, but run: " + Describe(*calls.refused),
              *calls.refused);
    }
  }
}

void CallJudge::JudgePlannedStops() {
  // Planned stops cut off no request (I8 of design.md) and lose no record of a
  // one-time call (docs/interfaces.md).
  std::map<std::string, SoakTime> done_keys;
  for (const CallRecord& record : records_) {
    if (!IsResponseDue(record)) {
      continue;
    }
    if (record.outcome == "unknown") {
      report_("unknown in a planned stop: " + Describe(record), record);
    }
    if (record.key.empty()) {
      continue;
    }
    const auto done = done_keys.find(record.key);
    if (record.outcome == "done") {
      done_keys.emplace(record.key, record.ended);
    } else if (done != done_keys.end() && record.sent > done->second &&
               record.outcome == "not-run" && record.scope == "key") {
      report_("done, but refused later: " + Describe(record), record);
    }
  }
}

bool CallJudge::IsResponseDue(const CallRecord& record) const {
  // The process that was running when the call was sent.
  const auto life = std::find_if(
      lives_.begin(), lives_.end(), [&record](const NodeLife& candidate) {
        return candidate.node == record.entry &&
               candidate.started <= record.sent &&
               (!candidate.exited || *candidate.exited > record.sent);
      });
  if (life == lives_.end()) {
    return false;
  }
  // A daemon takes callers once it has a table.
  const auto first_response = first_responses_.find(&*life);
  if (first_response == first_responses_.end() ||
      first_response->second > record.sent) {
    return false;
  }
  if (life->killed && *life->killed <= record.ended) {
    return false;
  }
  return !life->terminated ||
         record.sent < *life->terminated + kEntryGrace - kGraceMargin;
}

std::string CallJudge::Describe(const CallRecord& record) const {
  const auto seconds = [this](SoakTime time) {
    return std::chrono::duration<double>(time - epoch_).count();
  };
  return fmt::format(
      "{}{}{} at node {} sent {:.3f} ended {:.3f} status {} {} {} {}",
      record.id, record.key.empty() ? "" : " key ", record.key, record.entry,
      seconds(record.sent), seconds(record.ended), record.status,
      record.outcome, record.reason, record.scope);
}

int CallJudge::Executions(const std::string& id) const {
  const auto found = executions_.find(id);
  return found == executions_.end() ? 0 : found->second;
}

}  // namespace dragonflytack
