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

// Outcome of a call. kNotRun is used only if no byte of the call reached a
// target, or the target or the node beside it reports that it did not run the
// call and will not run it.
enum class CallOutcome { kDone, kNotRun, kUnknown };

// Value of the header x-outcome.
std::string_view CallOutcomeName(CallOutcome outcome);

// Why a call was refused or failed.
enum class CallReason {
  kNone,
  kBadRequest,
  kNoService,
  kNoTarget,
  // The table in force has no route for the call, but a newer version exists.
  kTableOutdated,
  // No account of the table in force holds the API key of the call.
  kUnknownKey,
  // The account of the call has exceeded its allowance.
  kAllowanceExceeded,
  kWrongService,
  kOverloaded,
  kRateLimited,
  kDeadline,
  kDraining,
  kUnreachable,
  kUpstreamFailed,
  kTooLarge,
  kStopping,
  kCallerDisconnected,
  // Of one-time calls with a key.
  kInvalidKey,
  kKeyNotAuthentic,
  kKeyReused,
  kExpired,
  kOwnerGone,
  kRecordsFull,
  kResponseNotKept,
  kResponseLost,
  kRefusedByTargets,
  kStoreUnavailable,
  kClaimBudget,
  kBadClaim,
  // Of attempts of one-time calls. The node beside the target had already
  // started the attempt.
  kAttemptStarted,
  // The node beside the target cannot determine whether the attempt was
  // started, see AttemptGuard::Decision::kTooOld.
  kAttemptTooOld,
};

// Value of the header x-reason and of "error" in the body.
std::string_view CallReasonName(CallReason reason);

// Returns the reason with the given name, or kUpstreamFailed if the name is
// unknown.
CallReason ParseCallReason(std::string_view name);

class DeferredDeleter;
struct RecordedResponse;

// Frees requests whose ownership evhttp passed on. evhttp still reads the flags
// of a request after its callback, so the request is freed in the next
// iteration of the event loop.
struct HttpRequestDeleter final {
  void operator()(evhttp_request* request) const;

  DeferredDeleter* deleter = nullptr;
};
using HttpRequestPtr = std::unique_ptr<evhttp_request, HttpRequestDeleter>;

// Result of a call. The response of a target is always complete.
struct CallResult final {
  CallOutcome outcome = CallOutcome::kUnknown;
  CallReason reason = CallReason::kNone;
  std::string detail;
  // The response if the outcome is kDone: status, headers and body as received
  // by evhttp.
  HttpRequestPtr response;
  // The target received the call, although it did not run it.
  bool reached_target = false;
  // Time after which a call that was not run may be sent again; std::nullopt if
  // it is unknown.
  std::optional<Milliseconds> retry_after;
  // A node on the path has already retried the call, or its retry budget
  // forbade the retry.
  bool retried = false;
  // Set for one-time calls with a key only. `recorded` is the response if it
  // was taken from the records.
  std::shared_ptr<const RecordedResponse> recorded;
  std::optional<NotRunScope> scope;
  // The node that owns the key now.
  NodeId moved_to;

  static CallResult Refused(CallReason reason, std::string detail);
  static CallResult Unknown(CallReason reason, std::string detail);

  // Returns the status of the HTTP response to the caller.
  int Status() const;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_CALLS_CALL_RESULT_H_
