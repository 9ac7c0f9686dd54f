#ifndef DRAGONFLYTACK_SRC_CALLS_CALL_RESULT_H_
#define DRAGONFLYTACK_SRC_CALLS_CALL_RESULT_H_

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "dragonflytack/base/clock.h"
#include "dragonflytack/registry/node_id.h"
#include "onetime/not_run_scope.h"

struct evhttp_request;

namespace dragonflytack {

// The three ways in which a call can end. kNotRun is used only when no byte of
// the call reached a target, or the node beside it says that it did not start
// it.
enum class CallOutcome { kDone, kNotRun, kUnknown };

// Value of the header x-outcome.
std::string_view CallOutcomeName(CallOutcome outcome);

// Why a call was refused or failed.
enum class CallReason {
  kNone,
  kBadRequest,
  kNoService,
  kNoTarget,
  kWrongService,
  kOverloaded,
  kRateLimited,
  kDeadline,
  kDraining,
  kUnreachable,
  kUpstreamFailed,
  kTooLarge,
  kStopping,
  kCallerGone,
  // Of one-time calls with a key.
  kInvalidKey,
  kKeyNotAuthentic,
  kKeyReused,
  kExpired,
  kOwnerGone,
  kRecordsFull,
  kAnswerNotKept,
  kAnswerLost,
  kRefusedByTargets,
  kStoreUnavailable,
  kClaimBudget,
  kBadClaim,
  // The node beside the target had started the attempt before.
  kAttemptStarted,
  // It has no memory of attempts as old as this one.
  kAttemptNotProven,
};

// Value of the header x-reason and of "error" in the body.
std::string_view CallReasonName(CallReason reason);

// Returns the reason with the given name, kUpstreamFailed for unknown names.
CallReason ParseCallReason(std::string_view name);

class DeferredDeleter;
struct RecordedResponse;

// Frees requests that evhttp handed over. evhttp still reads the flags of a
// request after its callback, so it is freed in the next round of the loop.
struct HttpRequestDeleter final {
  void operator()(evhttp_request* request) const;

  DeferredDeleter* deleter = nullptr;
};
using HttpRequestPtr = std::unique_ptr<evhttp_request, HttpRequestDeleter>;

// How a call ended. An answer of a target is always whole.
struct CallResult final {
  CallOutcome outcome = CallOutcome::kUnknown;
  CallReason reason = CallReason::kNone;
  std::string detail;
  // The answer when the outcome is kDone: status, headers and body as evhttp
  // received them.
  HttpRequestPtr response;
  // The target saw the call, although it did not run it.
  bool reached_target = false;
  // When a call that was not run may be tried again; nothing when it is not
  // known.
  std::optional<Milliseconds> retry_after;
  // A node on the path has retried the call already.
  bool retried = false;
  // Of one-time calls with a key. The answer may be one from the records.
  std::shared_ptr<const RecordedResponse> recorded;
  std::optional<NotRunScope> scope;
  // The node that answers for the key now.
  NodeId moved_to;

  static CallResult Refused(CallReason reason, std::string detail);
  static CallResult Unknown(CallReason reason, std::string detail);

  // Status of the HTTP answer to the caller.
  int Status() const;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_CALLS_CALL_RESULT_H_
