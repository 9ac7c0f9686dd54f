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

// How long a caller that retries with its own key is protected.
constexpr Milliseconds kClaimLifetime = std::chrono::hours(1);
// Handovers take a few messages of about 1 ms each.
constexpr Milliseconds kRouteDelay{20};
// A restarted node's record can arrive before the news of who took over its
// records. Answering "unknown" at once did so for 14 of 2,400 calls in a
// rolling restart.
constexpr Milliseconds kSuccessorGrace{1000};
// Taken off the deadline for the home, so that its definite answer arrives
// before this node gives up.
constexpr Milliseconds kHopMargin{4};
// Calls of all services to one home.
constexpr int kMaxConnections = 512;

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
  one_time_->calls()->Forget(ticket_);
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
    Step(claim_->Start());
  } else {
    Route();
  }
}

std::optional<CallResult> KeyedCall::ReadKey() {
  if (key_text_.starts_with(OneTimeKey::kPrefix)) {
    Failure reason;
    const auto key = OneTimeKey::Parse(key_text_, one_time_->secret(), &reason);
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
                          "a key has 8 to 255 visible ASCII characters");
  }
  if (one_time_->records()->draining()) {
    return RefusedRequest(CallReason::kStopping, "the node stops");
  }
  if (one_time_->store() == nullptr) {
    return RefusedRequest(CallReason::kStoreUnavailable, "no store is set");
  }
  claim_ = std::make_unique<Claim>(
      Claim::ObjectName(request_.route->row.service, key_text_),
      one_time_->records()->NewKey(Now(), kClaimLifetime), one_time_->secret());
  return std::nullopt;
}

void KeyedCall::Step(Claim::Step step) {
  switch (step) {
    case Claim::Step::kPut:
      if (!one_time_->claim_budget()->Take(Now())) {
        FinishLater(RefusedRequest(CallReason::kClaimBudget,
                                   "this node's share of claims is used up"));
        return;
      }
      AskStore(/*put=*/true);
      return;
    case Claim::Step::kGet:
      AskStore(/*put=*/false);
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

void KeyedCall::AskStore(bool put) {
  const std::weak_ptr<int> alive = alive_;
  if (put) {
    one_time_->store()->Put(claim_->object(), claim_->value(),
                            claim_->if_version(),
                            [this, alive](std::optional<StoreVersion> version,
                                          const Failure& reason) {
                              if (!alive.expired()) {
                                Step(claim_->OnPut(version, reason));
                              }
                            });
  } else {
    one_time_->store()->Get(claim_->object(),
                            [this, alive](std::optional<StoreObject> object,
                                          const Failure& reason) {
                              if (!alive.expired()) {
                                Step(claim_->OnGet(std::move(object), reason));
                              }
                            });
  }
}

void KeyedCall::Route() {
  const auto& routes = context_->router->routes();
  const KeyLocation location = KeyLocation::Find(
      {key_.owner, key_.incarnation}, *routes, *one_time_->records());
  // The last home knows better than this node's snapshot and its own records
  // of a set that it handed over.
  if (!moved_to_.empty() && moved_to_ != context_->node &&
      routes->nodes != nullptr && routes->nodes->contains(moved_to_)) {
    Forward(routes->nodes->at(moved_to_));
  } else if (location.kind == KeyLocation::Kind::kLocal) {
    passed_on_ = true;
    std::optional<CallResult> result = one_time_->calls()->Handle(
        key_, request_,
        [this](CallResult late) {
          ticket_ = 0;
          OnOwnerResult(std::move(late));
        },
        &ticket_);
    if (result) {
      pending_ = std::move(*result);
      next_timer_ = context_->loop->timers().SubscribeOnce(
          Milliseconds::zero(), [this] { OnOwnerResult(std::move(pending_)); });
    }
  } else if (location.kind == KeyLocation::Kind::kRemote) {
    Forward(location.node);
  } else if (!moved_to_.empty() || MayHearOfSuccessor()) {
    RouteLater();
  } else {
    FinishLater(CallResult::Unknown(CallReason::kOwnerGone,
                                    "the key's home ended without a handover"));
  }
}

void KeyedCall::Forward(const NodeLocation& owner) {
  const Milliseconds remaining =
      std::chrono::floor<Milliseconds>(request_.deadline - Now());
  if (remaining <= kHopMargin) {
    RouteLater();
    return;
  }
  exchange_ = context_->connections->Start(
      {owner.address, owner.mesh_port}, kMaxConnections, remaining,
      evhttp_request_get_command(request_.http), request_.uri.c_str(),
      [&](evhttp_request* out) {
        evkeyvalq* headers = evhttp_request_get_output_headers(out);
        CopyEndToEndHeaders(*context_->header_codec,
                            evhttp_request_get_input_headers(request_.http),
                            headers);
        evhttp_add_header(headers, kServiceHeader,
                          request_.route->row.service.c_str());
        evhttp_add_header(headers, kOneTimeKeyHeader,
                          key_.ToText(one_time_->secret()).c_str());
        evhttp_add_header(headers, kTraceHeader,
                          request_.trace.ToHeader().c_str());
        AddHeader(headers, kDeadlineHeader, (remaining - kHopMargin).count());
        evbuffer* body = evhttp_request_get_input_buffer(request_.http);
        if (const size_t size = evbuffer_get_length(body); size > 0) {
          AddHeader(headers, "Content-Length", static_cast<int64_t>(size));
          // References the caller's bytes, which are needed to ask again.
          evbuffer_add_buffer_reference(evhttp_request_get_output_buffer(out),
                                        body);
        }
      },
      [this](ExchangeOutcome end, HttpRequestPtr response) {
        OnExchangeEnd(end, std::move(response));
      });
  if (exchange_ == nullptr) {
    RouteLater();
  }
}

void KeyedCall::OnExchangeEnd(ExchangeOutcome end, HttpRequestPtr response) {
  context_->deleter->Add(std::move(exchange_));
  if (end != ExchangeOutcome::kNotSent) {
    passed_on_ = true;
  }
  switch (end) {
    case ExchangeOutcome::kCompleted:
      OnOwnerResult(ReadResponse(std::move(response)));
      return;
    case ExchangeOutcome::kNotSent:
      moved_to_.clear();
      RouteLater();
      return;
    case ExchangeOutcome::kBroken:
      response_lost_ = true;
      RouteLater();
      return;
    case ExchangeOutcome::kTimeout:
      Finish(CallResult::Unknown(CallReason::kDeadline,
                                 "the key's home did not answer in time"));
      return;
    case ExchangeOutcome::kTooLarge:
      Finish(CallResult::Unknown(CallReason::kTooLarge,
                                 "the answer is over the size limit"));
      return;
  }
}

CallResult KeyedCall::ReadResponse(HttpRequestPtr response) {
  const evkeyvalq* headers = evhttp_request_get_input_headers(response.get());
  const std::string_view outcome = FindHeader(headers, kOutcomeHeader);
  const std::string_view reason = FindHeader(headers, kReasonHeader);
  CallResult result;
  result.reason = reason.empty() ? CallReason::kNone : ParseCallReason(reason);
  result.detail = "the key's home answered so";
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
  const bool here_draining = result.outcome == CallOutcome::kNotRun &&
                             result.scope == NotRunScope::kRequest &&
                             result.reason == CallReason::kDraining;
  // A node that restarted may be asked for its earlier process, and a successor
  // before its set is complete.
  const bool successor_not_ready = result.outcome == CallOutcome::kUnknown &&
                                   result.reason == CallReason::kOwnerGone &&
                                   (!moved_to_.empty() || MayHearOfSuccessor());
  if (!result.moved_to.empty()) {
    moved_to_ = result.moved_to;
    RouteLater();
  } else if (here_draining || successor_not_ready) {
    RouteLater();
  } else if (result.outcome == CallOutcome::kNotRun && claim_ != nullptr &&
             result.scope == NotRunScope::kKey) {
    Step(claim_->OnOwnerRefused());
  } else {
    Finish(std::move(result));
  }
}

bool KeyedCall::MayHearOfSuccessor() const {
  return Now() - request_.start < kSuccessorGrace;
}

void KeyedCall::RouteLater() {
  next_timer_ =
      context_->loop->timers().SubscribeOnce(kRouteDelay, [this] { Route(); });
}

void KeyedCall::OnDeadline() {
  // A home that has not answered may run the call; one that was asked and
  // answered that it does not take it will not.
  const bool waiting = exchange_ != nullptr || ticket_ != 0;
  Finish(waiting ? CallResult::Unknown(CallReason::kDeadline,
                                       "the key's home did not answer in time")
                 : RefusedRequest(CallReason::kDeadline,
                                  "no home took the call in time"));
}

void KeyedCall::FinishLater(CallResult result) {
  pending_ = std::move(result);
  next_timer_ = context_->loop->timers().SubscribeOnce(
      Milliseconds::zero(), [this] { Finish(std::move(pending_)); });
}

void KeyedCall::Finish(CallResult result) {
  context_->loop->timers().Cancel(deadline_timer_);
  context_->loop->timers().Cancel(next_timer_);
  // This object is deleted later; until then nothing may finish it again.
  exchange_.reset();
  one_time_->calls()->Forget(std::exchange(ticket_, 0));
  alive_.reset();
  if (claim_ != nullptr && result.outcome == CallOutcome::kNotRun) {
    // A claim may be taken over later.
    result.scope = NotRunScope::kRequest;
  }
  if (response_lost_ && result.outcome == CallOutcome::kNotRun &&
      result.scope == NotRunScope::kRequest) {
    result.outcome = CallOutcome::kUnknown;
    result.scope.reset();
  }
  passed_on_ = result.outcome != CallOutcome::kNotRun;
  const Callback callback = std::move(callback_);
  callback(std::move(result));
}

}  // namespace dragonflytack
