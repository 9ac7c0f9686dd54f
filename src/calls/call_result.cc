#include "calls/call_result.h"

#include <algorithm>
#include <array>
#include <utility>

#include <event2/http.h>

#include "calls/deferred_deleter.h"
#include "onetime/recorded_response.h"

namespace dragonflytack {

namespace {

struct ReasonEntry {
  std::string_view name;
  int status;
};

constexpr std::array<ReasonEntry, 31> kReasons = {{
    {"none", 200},
    {"bad_request", 400},
    {"no_service", 404},
    {"no_target", 503},
    {"table_outdated", 503},
    {"unknown_key", 401},
    {"allowance_exceeded", 429},
    {"wrong_service", 503},
    {"overloaded", 503},
    {"rate_limited", 429},
    {"deadline", 503},
    {"draining", 503},
    {"unreachable", 503},
    {"upstream_failed", 503},
    {"too_large", 413},
    {"stopping", 503},
    {"caller_gone", 503},
    {"invalid_key", 400},
    {"key_not_authentic", 403},
    {"key_reused", 422},
    {"expired", 410},
    {"home_gone", 503},
    {"records_full", 503},
    {"answer_not_kept", 200},
    {"answer_lost", 503},
    {"refused_by_targets", 503},
    {"store_unavailable", 503},
    {"claim_budget", 429},
    {"bad_claim", 500},
    {"attempt_started", 503},
    {"attempt_not_proven", 503},
}};
static_assert(kReasons.size() ==
              static_cast<size_t>(CallReason::kAttemptTooOld) + 1);

constexpr int kUnknownStatus = 504;

}  // namespace

std::string_view CallOutcomeName(CallOutcome outcome) {
  switch (outcome) {
    case CallOutcome::kDone:
      return "done";
    case CallOutcome::kNotRun:
      return "not-run";
    case CallOutcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

std::string_view CallReasonName(CallReason reason) {
  return kReasons[static_cast<size_t>(reason)].name;
}

CallReason ParseCallReason(std::string_view name) {
  const auto found =
      std::find_if(kReasons.begin(), kReasons.end(),
                   [name](const auto& entry) { return entry.name == name; });
  return found == kReasons.end()
             ? CallReason::kUpstreamFailed
             : static_cast<CallReason>(found - kReasons.begin());
}

void HttpRequestDeleter::operator()(evhttp_request* request) const {
  deleter->Add(std::shared_ptr<void>(
      request, [](evhttp_request* owned) { evhttp_request_free(owned); }));
}

CallResult CallResult::Refused(CallReason reason, std::string detail) {
  return {CallOutcome::kNotRun, reason, std::move(detail)};
}

CallResult CallResult::Unknown(CallReason reason, std::string detail) {
  return {CallOutcome::kUnknown, reason, std::move(detail)};
}

int CallResult::Status() const {
  switch (outcome) {
    case CallOutcome::kDone:
      if (recorded != nullptr) {
        return recorded->status;
      }
      // The call is known to be done, but its response was not kept.
      return response == nullptr
                 ? 200
                 : evhttp_request_get_response_code(response.get());
    case CallOutcome::kNotRun:
      return kReasons[static_cast<size_t>(reason)].status;
    case CallOutcome::kUnknown:
      return kUnknownStatus;
  }
  return kUnknownStatus;
}

}  // namespace dragonflytack
