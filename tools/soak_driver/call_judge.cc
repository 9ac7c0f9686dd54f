#include "soak_driver/call_judge.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "soak_driver/caller_pool.h"

namespace dragonflytack {

namespace {

// docs/design.md 8.6: the call port serves callers for 1 s after SIGTERM, or a
// quarter of the drain timeout if that is shorter. The margin is the time that
// a request takes to the daemon on a busy machine.
constexpr std::chrono::milliseconds kEntryGrace{1000};
constexpr std::chrono::milliseconds kGraceMargin{100};

// Bound of the deployment from the acknowledgement of a version until all nodes
// have it in force (docs/design/README.md, section 2).
constexpr std::chrono::seconds kRevocationLimit{5};

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
                     bool accounts,
                     std::optional<SoakTime> revoked,
                     Report report)
    : records_(records),
      lives_(lives),
      executions_(executions),
      epoch_(epoch),
      stops_only_(stops_only),
      accounts_(accounts),
      revoked_(revoked),
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
  if (accounts_) {
    JudgeApiKeys();
  }
}

void CallJudge::JudgeApiKeys() {
  for (const CallRecord& record : records_) {
    const bool ran = Executions(record.id) > 0;
    if (record.api_key == ApiKey::kNone && ran) {
      ReportCall("run without an API key: ", record);
    }
    if (record.api_key != ApiKey::kRevoked || !ran || !revoked_) {
      continue;
    }
    // A process that was paused may read a call before the version.
    const NodeLife* const life = LifeOf(record);
    const SoakTime known = life != nullptr && life->resumed
                               ? std::max(*revoked_, *life->resumed)
                               : *revoked_;
    if (record.sent > known + kRevocationLimit) {
      ReportCall("run with a revoked API key: ", record, /*by_time=*/true);
    }
  }
}

void CallJudge::JudgeResponses() {
  for (const CallRecord& record : records_) {
    if (record.is_behind_close && Executions(record.id) > 0) {
      ReportCall("run behind a response that closes the connection: ", record);
    }
    if (record.status == 0 && !record.is_behind_close &&
        IsResponseDue(record)) {
      // Otherwise no time limit is involved: the connection broke.
      const bool by_time =
          LifeOf(record)->terminated ||
          record.ended - record.sent >=
              std::chrono::milliseconds(CallerPool::kResponseTimeoutMs);
      ReportCall("no response: ", record, by_time);
    }
    if (record.outcome == "done" && record.status == 200 &&
        !record.own_response) {
      ReportCall("response to another request: ", record);
    }
    if (record.outcome == "not-run" && Executions(record.id) > 0) {
      ReportCall("refused as not run, but run: ", record);
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
      ReportCall(fmt::format("one-time call run {} times: key {}, last ",
                             calls.executions, key),
                 *calls.last);
    }
    if (calls.done != nullptr && calls.executions == 0) {
      ReportCall("reported as done, but not run: ", *calls.done);
    }
    if (calls.refused != nullptr && calls.executions > 0) {
      ReportCall("key refused for good, but run: ", *calls.refused);
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
      ReportCall("unknown in a planned stop: ", record,
                 record.reason == "deadline");
    }
    if (record.key.empty()) {
      continue;
    }
    const auto done = done_keys.find(record.key);
    if (record.outcome == "done") {
      done_keys.emplace(record.key, record.ended);
    } else if (done != done_keys.end() && record.sent > done->second &&
               record.outcome == "not-run" && record.scope == "key") {
      ReportCall("done, but refused later: ", record);
    }
  }
}

const NodeLife* CallJudge::LifeOf(const CallRecord& record) const {
  const auto life = std::find_if(
      lives_.begin(), lives_.end(), [&record](const NodeLife& candidate) {
        return candidate.node == record.entry &&
               candidate.started <= record.sent &&
               (!candidate.exited || *candidate.exited > record.sent);
      });
  return life == lives_.end() ? nullptr : &*life;
}

bool CallJudge::IsResponseDue(const CallRecord& record) const {
  const NodeLife* const life = LifeOf(record);
  if (life == nullptr) {
    return false;
  }
  // A daemon takes callers once it has a table.
  const auto first_response = first_responses_.find(life);
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

void CallJudge::ReportCall(const std::string& text,
                           const CallRecord& record,
                           bool by_time) const {
  report_(
      {.text = text + Describe(record),
       .node = record.entry,
       .at = record.ended,
       .limited_since = by_time ? std::optional(record.sent) : std::nullopt});
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
