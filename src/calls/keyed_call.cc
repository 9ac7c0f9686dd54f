#include "calls/keyed_call.h"

#include <algorithm>
#include <utility>

#include <event2/buffer.h>
#include <event2/http.h>

#include "calls/connection_pool.h"
#include "calls/deferred_deleter.h"
#include "calls/http_headers.h"
#include "calls/one_time.h"
#include "dragonflytack/base/event_loop.h"
#include "onetime/key_location.h"
#include "routing/router.h"

namespace dragonflytack {

namespace {

// How long a caller may retry with a key that it chose without the risk of a
// second execution.
constexpr Milliseconds kClaimLifetime = std::chrono::hours(1);
// A handover takes a few messages of about 1 ms each.
constexpr Milliseconds kRouteDelay{20};
// The record of a restarted node can arrive before the notice of which node
// took over its records. Without this grace period, 14 of 2,400 calls ended as
// unknown in a rolling restart.
constexpr Milliseconds kSuccessorGrace{1000};
// Subtracted from the deadline sent to the owner, so that its final response
// arrives before this node's own deadline.
constexpr Milliseconds kHopMargin{4};
// Limit for the connections to one owner, shared by the calls of all services.
constexpr int kMaxConnections = 512;

// Returns whether a response of a key's owner belongs to a call with the key. A
// copy of an earlier refusal of the same key cannot be recognized. It causes no
// second run: if its scope is the key, the owner never runs the key; if it is
// the request, the caller may only present the same key again.
ResponseVerdict Validate(const std::string& key, evhttp_request* response) {
  const evkeyvalq* headers = evhttp_request_get_input_headers(response);
  const std::string_view repeated = FindHeader(headers, kOneTimeKeyHeader);
  if (repeated == key) {
    return ResponseVerdict::kAccepted;
  }
  // Responses that evhttp generates have no key. They prove nothing.
  return repeated.empty() && FindHeader(headers, kOutcomeHeader) !=
                                 CallOutcomeName(CallOutcome::kNotRun)
             ? ResponseVerdict::kAccepted
             : ResponseVerdict::kMismatched;
}

CallResult RefusedRequest(CallReason reason, std::string detail) {
  CallResult result = CallResult::Refused(reason, std::move(detail));
  result.scope = NotRunScope::kRequest;
  return result;
}

}  // namespace

KeyedCall::KeyedCall(const CallContext* context,
                     OneTime* one_time,
                     CallRequest request,
                     std::string key_text,
                     Callback callback)
    : context_(context),
      one_time_(one_time),
      request_(std::move(request)),
      key_text_(std::move(key_text)),
      callback_(std::move(callback)) {}

KeyedCall::~KeyedCall() {
  context_->loop->timers().Cancel(deadline_timer_);
  context_->loop->timers().Cancel(next_timer_);
  one_time_->dispatcher()->RemoveWaiter(waiter_id_);
}

TimePoint KeyedCall::Now() const {
  return context_->loop->clock().Now();
}

void KeyedCall::Start() {
  deadline_timer_ = context_->loop->timers().SubscribeOnce(
      std::max(std::chrono::ceil<Milliseconds>(request_.deadline - Now()),
               Milliseconds::zero()),
      [this] { OnDeadline(); });
  if (std::optional<CallResult> refusal = ReadKey()) {
    FinishLater(std::move(*refusal));
  } else if (claim_ != nullptr) {
    PerformStep(claim_->Start());
  } else {
    Route();
  }
}

std::optional<CallResult> KeyedCall::ReadKey() {
  if (key_text_.starts_with(OneTimeKey::kPrefix)) {
    Failure reason;
    const auto key =
        OneTimeKey::Parse(key_text_, one_time_->shared_key(), &reason);
    if (!key) {
      // A well-formed key may have been accepted under another shared key.
      return reason.code == FailureCode::kAuthentication
                 ? CallResult::Unknown(CallReason::kKeyNotAuthentic,
                                       reason.detail)
                 : RefusedRequest(CallReason::kInvalidKey, reason.detail);
    }
    key_ = *key;
    return std::nullopt;
  }
  if (!Claim::IsAllowed(key_text_)) {
    return RefusedRequest(CallReason::kInvalidKey,
                          "a key chosen by the caller must have 8 to 255 "
                          "visible ASCII characters");
  }
  if (one_time_->records()->draining()) {
    return RefusedRequest(CallReason::kStopping, "the node is stopping");
  }
  if (one_time_->store() == nullptr) {
    return RefusedRequest(CallReason::kStoreUnavailable,
                          "no store is configured");
  }
  claim_ = std::make_unique<Claim>(
      Claim::ObjectName(request_.route->row.service, key_text_),
      one_time_->records()->NewKey(Now(), kClaimLifetime),
      one_time_->shared_key());
  return std::nullopt;
}

void KeyedCall::PerformStep(Claim::Step step) {
  switch (step) {
    case Claim::Step::kPut:
      if (!one_time_->claim_budget()->TryTake(Now())) {
        FinishLater(
            RefusedRequest(CallReason::kClaimBudget,
                           "this node's share of claim writes is used up"));
        return;
      }
      SendStoreRequest(/*put=*/true);
      return;
    case Claim::Step::kGet:
      SendStoreRequest(/*put=*/false);
      return;
    case Claim::Step::kUseKey:
      key_ = claim_->key();
      Route();
      return;
    case Claim::Step::kRefuse:
      FinishLater(
          RefusedRequest(claim_->reason().code == FailureCode::kOverloaded
                             ? CallReason::kRefusedByTargets
                             : CallReason::kStoreUnavailable,
                         claim_->reason().detail));
      return;
    case Claim::Step::kUnknown:
      FinishLater(
          CallResult::Unknown(CallReason::kBadClaim, claim_->reason().detail));
      return;
  }
}

void KeyedCall::SendStoreRequest(bool put) {
  const std::weak_ptr<int> alive = alive_;
  if (put) {
    one_time_->store()->Put(claim_->object(), claim_->value(),
                            claim_->if_version(),
                            [this, alive](std::optional<StoreVersion> version,
                                          const Failure& reason) {
                              if (!alive.expired()) {
                                PerformStep(claim_->OnPut(version, reason));
                              }
                            });
  } else {
    one_time_->store()->Get(
        claim_->object(), [this, alive](std::optional<StoreObject> object,
                                        const Failure& reason) {
          if (!alive.expired()) {
            PerformStep(claim_->OnGet(std::move(object), reason));
          }
        });
  }
}

void KeyedCall::Route() {
  const auto& routes = context_->router->routes();
  const KeyLocation location = KeyLocation::Find(
      {key_.owner, key_.incarnation}, *routes, *one_time_->records());
  // The node named by the last owner takes precedence over the snapshot and
  // over this node's own records, which it may have handed over.
  if (!moved_to_.empty() && moved_to_ != context_->node &&
      routes->nodes != nullptr && routes->nodes->contains(moved_to_)) {
    Forward(routes->nodes->at(moved_to_));
  } else if (location.kind == KeyLocation::Kind::kLocal) {
    maybe_forwarded_ = true;
    std::optional<CallResult> result = one_time_->dispatcher()->Handle(
        key_, request_,
        [this](CallResult deferred_result) {
          waiter_id_ = 0;
          OnOwnerResult(std::move(deferred_result));
        },
        &waiter_id_);
    if (result) {
      pending_result_ = std::move(*result);
      next_timer_ = context_->loop->timers().SubscribeOnce(
          Milliseconds::zero(),
          [this] { OnOwnerResult(std::move(pending_result_)); });
    }
  } else if (location.kind == KeyLocation::Kind::kRemote) {
    Forward(location.node);
  } else if (!moved_to_.empty() || IsWithinSuccessorGrace()) {
    RouteLater();
  } else {
    FinishLater(CallResult::Unknown(
        CallReason::kOwnerGone,
        "the process that owned the key ended without a handover"));
  }
}

void KeyedCall::Forward(const NodeLocation& owner) {
  const Milliseconds remaining =
      std::chrono::floor<Milliseconds>(request_.deadline - Now());
  if (remaining <= kHopMargin) {
    RouteLater();
    return;
  }
  const std::string key_text = key_.ToText(one_time_->shared_key());
  exchange_ = context_->connections->Start(
      {owner.address, owner.mesh_port}, kMaxConnections, remaining,
      evhttp_request_get_command(request_.http), request_.uri.c_str(),
      [&](evhttp_request* out) {
        evkeyvalq* headers = evhttp_request_get_output_headers(out);
        CopyEndToEndHeaders(*context_->header_codec,
                            evhttp_request_get_input_headers(request_.http),
                            headers,
                            request_.uses_accounts ? AccountHeaders::kOmit
                                                   : AccountHeaders::kCopy);
        if (!request_.account.empty()) {
          evhttp_add_header(headers, kAccountHeader, request_.account.c_str());
        }
        if (request_.uses_accounts && request_.policy.rank > 0) {
          AddHeader(headers, kRankHeader, request_.policy.rank);
        }
        evhttp_add_header(headers, kServiceHeader,
                          request_.route->row.service.c_str());
        evhttp_add_header(headers, kOneTimeKeyHeader, key_text.c_str());
        evhttp_add_header(headers, kTraceHeader,
                          request_.trace.ToHeader().c_str());
        AddHeader(headers, kDeadlineHeader, (remaining - kHopMargin).count());
        evbuffer* body = evhttp_request_get_input_buffer(request_.http);
        if (const size_t size = evbuffer_get_length(body); size > 0) {
          AddHeader(headers, "Content-Length", static_cast<int64_t>(size));
          // References the body without consuming it, so that a repeated
          // request can send it again.
          evbuffer_add_buffer_reference(evhttp_request_get_output_buffer(out),
                                        body);
        }
      },
      [this](ExchangeOutcome outcome, HttpRequestPtr response) {
        OnExchangeFinished(outcome, std::move(response));
      },
      {[key_text](evhttp_request* response) {
         return Validate(key_text, response);
       },
       std::nullopt});
  if (exchange_ == nullptr) {
    RouteLater();
  }
}

void KeyedCall::OnExchangeFinished(ExchangeOutcome outcome,
                                   HttpRequestPtr response) {
  context_->deleter->Add(std::move(exchange_));
  if (outcome != ExchangeOutcome::kNotSent &&
      outcome != ExchangeOutcome::kStaleConnection) {
    maybe_forwarded_ = true;
  }
  switch (outcome) {
    case ExchangeOutcome::kCompleted:
      OnOwnerResult(ReadResponse(std::move(response)));
      return;
    case ExchangeOutcome::kNotSent:
    case ExchangeOutcome::kStaleConnection:
      moved_to_.clear();
      RouteLater();
      return;
    case ExchangeOutcome::kBroken:
    case ExchangeOutcome::kMismatched:
      response_lost_ = true;
      RouteLater();
      return;
    case ExchangeOutcome::kTimeout:
      Finish(CallResult::Unknown(
          CallReason::kDeadline,
          "the owner of the key did not respond within the deadline"));
      return;
    case ExchangeOutcome::kTooLarge:
      Finish(CallResult::Unknown(CallReason::kTooLarge,
                                 "the response exceeds the size limit"));
      return;
    case ExchangeOutcome::kOverBudget:
      Finish(CallResult::Unknown(
          CallReason::kUpstreamFailed,
          "the response exceeds what is left of the memory for responses"));
      return;
  }
}

CallResult KeyedCall::ReadResponse(HttpRequestPtr response) {
  const evkeyvalq* headers = evhttp_request_get_input_headers(response.get());
  const std::string_view outcome = FindHeader(headers, kOutcomeHeader);
  const std::string_view reason = FindHeader(headers, kReasonHeader);
  CallResult result;
  result.reason = reason.empty() ? CallReason::kNone : ParseCallReason(reason);
  result.detail = "reported by the owner of the key";
  result.retried = !FindHeader(headers, kRetriedHeader).empty();
  result.moved_to = FindHeader(headers, kMovedHeader);
  if (outcome == CallOutcomeName(CallOutcome::kDone)) {
    result.outcome = CallOutcome::kDone;
    result.response = std::move(response);
  } else if (outcome == CallOutcomeName(CallOutcome::kNotRun)) {
    result.outcome = CallOutcome::kNotRun;
    result.scope = FindHeader(headers, kScopeHeader) == "key"
                       ? NotRunScope::kKey
                       : NotRunScope::kRequest;
  }
  return result;
}

void KeyedCall::OnOwnerResult(CallResult result) {
  const bool owner_draining = result.outcome == CallOutcome::kNotRun &&
                              result.scope == NotRunScope::kRequest &&
                              result.reason == CallReason::kDraining;
  // The request may have reached a restarted node although it concerns the
  // earlier process, or a successor whose record set is not complete yet.
  const bool successor_not_ready =
      result.outcome == CallOutcome::kUnknown &&
      result.reason == CallReason::kOwnerGone &&
      (!moved_to_.empty() || IsWithinSuccessorGrace());
  if (!result.moved_to.empty()) {
    moved_to_ = result.moved_to;
    RouteLater();
  } else if (owner_draining || successor_not_ready) {
    RouteLater();
  } else if (result.outcome == CallOutcome::kNotRun && claim_ != nullptr &&
             result.scope == NotRunScope::kKey) {
    PerformStep(claim_->OnOwnerRefused());
  } else {
    Finish(std::move(result));
  }
}

bool KeyedCall::IsWithinSuccessorGrace() const {
  return Now() - request_.start < kSuccessorGrace;
}

void KeyedCall::RouteLater() {
  next_timer_ =
      context_->loop->timers().SubscribeOnce(kRouteDelay, [this] { Route(); });
}

void KeyedCall::OnDeadline() {
  // An owner that has not responded may still run the call. One that responded
  // with a refusal will not.
  const bool waiting = exchange_ != nullptr || waiter_id_ != 0;
  Finish(
      waiting
          ? CallResult::Unknown(
                CallReason::kDeadline,
                "the owner of the key did not respond within the deadline")
          : RefusedRequest(
                CallReason::kDeadline,
                "no owner of the key accepted the call within the deadline"));
}

void KeyedCall::FinishLater(CallResult result) {
  pending_result_ = std::move(result);
  next_timer_ = context_->loop->timers().SubscribeOnce(
      Milliseconds::zero(), [this] { Finish(std::move(pending_result_)); });
}

void KeyedCall::Finish(CallResult result) {
  context_->loop->timers().Cancel(deadline_timer_);
  context_->loop->timers().Cancel(next_timer_);
  // The object is deleted later. No event may finish the call a second time
  // until then.
  exchange_.reset();
  one_time_->dispatcher()->RemoveWaiter(std::exchange(waiter_id_, 0));
  alive_.reset();
  if (claim_ != nullptr && result.outcome == CallOutcome::kNotRun) {
    // A later call may take over the claim and run under the same key, so the
    // refusal holds for this request only.
    result.scope = NotRunScope::kRequest;
  }
  if (response_lost_ && result.outcome == CallOutcome::kNotRun &&
      result.scope == NotRunScope::kRequest) {
    result.outcome = CallOutcome::kUnknown;
    result.scope.reset();
  }
  maybe_forwarded_ = result.outcome != CallOutcome::kNotRun;
  const Callback callback = std::move(callback_);
  callback(std::move(result));
}

}  // namespace dragonflytack
