#include "calls/routed_call.h"

#include <algorithm>
#include <string>
#include <utility>

#include <event2/buffer.h>
#include <event2/http.h>
#include <fmt/format.h>

#include "calls/call_metrics.h"
#include "calls/connection_pool.h"
#include "calls/deferred_deleter.h"
#include "calls/http_headers.h"
#include "calls/retry_share.h"
#include "dragonflytack/base/event_loop.h"
#include "dragonflytack/base/logger.h"
#include "dragonflytack/calls/call_header_codec.h"
#include "dragonflytack/routing/target_load_report.h"
#include "onetime/attempt_id_generator.h"

namespace dragonflytack {

namespace {

// Subtracted from the deadline that is passed to the next node, so that its
// definite response arrives before this node times out.
constexpr Milliseconds kHopMargin{2};

// Limit of the endpoints that StartAttempt() skips because they have no free
// connection. They do not count as attempts.
constexpr int kMaxLocalRefusals = 3;

// Limit of the attempts of one call, including those that a node refuses
// without passing them to its target.
constexpr int kMaxAttempts = 6;

// Share of the latency objective after which an idempotent call is hedged.
// Later, the response to the hedge would miss the objective as well; earlier,
// calls that merely take long would be sent twice.
constexpr double kHedgeShare = 0.6;

constexpr int kInternalError = 500;

// Returns whether another target may accept a call refused for `reason`.
bool IsRetryable(CallReason reason) {
  switch (reason) {
    case CallReason::kBadRequest:
    case CallReason::kNoService:
    case CallReason::kTooLarge:
    case CallReason::kUnknownKey:
    case CallReason::kAllowanceExceeded:
      return false;
    default:
      return true;
  }
}

// Returns the number of calls per slot below which another endpoint may accept
// a call that the queue beside a target refused for lack of room. Returns
// std::nullopt if the reason is another one. A call that is late waits behind
// the others, so it needs a free slot.
std::optional<double> RequiredRoom(const CallResult& result) {
  if (result.outcome != CallOutcome::kNotRun || result.reached_target) {
    return std::nullopt;
  }
  switch (result.reason) {
    case CallReason::kOverloaded:
      return ServicePool::kSpilloverOccupancy;
    case CallReason::kDeadline:
      return 1;
    default:
      return std::nullopt;
  }
}

}  // namespace

RoutedCall::RoutedCall(const CallContext* context,
                       CallRequest request,
                       Callback callback)
    : context_(context),
      request_(std::move(request)),
      callback_(std::move(callback)) {}

RoutedCall::~RoutedCall() {
  context_->loop->timers().Cancel(finish_timer_);
  context_->loop->timers().Cancel(hedge_timer_);
  for (const auto& attempt : attempts_in_flight_) {
    EndAttempt(attempt.get(), AttemptOutcome::kNeutral, "cancelled");
  }
}

void RoutedCall::Start() {
  request_.pool->retry_budget().OnCall(context_->retry_share->share());
  StartAttempt(CallResult::Refused(CallReason::kNoTarget,
                                   "no target of the service is available"));
}

TimePoint RoutedCall::Now() const {
  return context_->loop->clock().Now();
}

void RoutedCall::StartAttempt(CallResult previous) {
  for (int refusals = 0; refusals < kMaxLocalRefusals; ++refusals) {
    const auto remaining =
        std::chrono::floor<Milliseconds>(request_.deadline - Now());
    if (remaining <= kHopMargin) {
      previous.reason = CallReason::kDeadline;
      previous.detail = "no time is left before the deadline for an attempt";
      break;
    }
    ServicePool::EndpointPtr endpoint =
        request_.pool->Choose(attempted_endpoints_);
    if (endpoint == nullptr) {
      break;
    }
    if (StartAttemptAt(std::move(endpoint), remaining)) {
      ArmHedge();
      return;
    }
    previous = CallResult::Refused(CallReason::kOverloaded,
                                   "all connections to the target are in use");
  }
  if (attempts_in_flight_.empty()) {
    FinishLater(std::move(previous));
  }
}

bool RoutedCall::StartAttemptAt(ServicePool::EndpointPtr endpoint,
                                Milliseconds limit) {
  const ServiceRow& row = request_.route->row;
  attempted_endpoints_.push_back(endpoint);
  auto owned = std::make_unique<Attempt>();
  Attempt* const attempt = owned.get();
  attempt->endpoint = std::move(endpoint);
  attempt->number = started_attempts_ + 1;
  attempt->start = Now();
  const NodeRecord& record = attempt->endpoint->record();
  attempt->span = std::make_unique<CallSpan>(context_, request_.trace,
                                             "attempt", row.service);
  attempt->span->set_target(record.id, attempt->number);
  if (is_one_time()) {
    attempt->id =
        context_->attempt_ids->Next(record.id, record.incarnation).ToText();
  }
  attempt->exchange = context_->connections->Start(
      {record.address, record.mesh_port}, row.max_connections, limit,
      evhttp_request_get_command(request_.http), request_.uri.c_str(),
      [&](evhttp_request* out) {
        WriteRequest(*attempt, out, limit - kHopMargin);
      },
      [this, attempt](ExchangeOutcome exchange_outcome,
                      HttpRequestPtr response) {
        OnExchangeFinished(attempt, exchange_outcome, std::move(response));
      },
      {[this, attempt](evhttp_request* response) {
         return Validate(*attempt, response);
       },
       std::nullopt});
  attempt->endpoint->OnSent(attempt->start);
  if (attempt->exchange == nullptr) {
    EndAttempt(attempt, AttemptOutcome::kNeutral, "overloaded");
    return false;
  }
  ++started_attempts_;
  maybe_dispatched_ = true;
  attempts_in_flight_.push_back(std::move(owned));
  return true;
}

bool RoutedCall::HasAttemptsLeft() const {
  return started_attempts_ < kMaxAttempts &&
         delivered_attempts_ + static_cast<int>(attempts_in_flight_.size()) <
             request_.policy.attempts;
}

void RoutedCall::ArmHedge() {
  if (is_one_time() || hedge_timer_ != 0 || !HasAttemptsLeft()) {
    return;
  }
  const Milliseconds objective = request_.policy.latency_objective;
  const Milliseconds given =
      std::chrono::floor<Milliseconds>(request_.deadline - request_.start);
  const Milliseconds after =
      objective > Milliseconds::zero()
          ? Milliseconds(static_cast<int64_t>(
                kHedgeShare * static_cast<double>(objective.count())))
          : given / 2;
  hedge_timer_ =
      context_->loop->timers().SubscribeOnce(after, [this] { StartHedge(); });
}

void RoutedCall::StartHedge() {
  const auto remaining =
      std::chrono::floor<Milliseconds>(request_.deadline - Now());
  if (attempts_in_flight_.empty() || remaining <= kHopMargin ||
      !HasAttemptsLeft()) {
    return;
  }
  ServicePool::EndpointPtr endpoint =
      request_.pool->ChooseForHedge(attempted_endpoints_);
  if (endpoint != nullptr && request_.pool->retry_budget().TryTake()) {
    context_->metrics->ForService(request_.route->row.service).retries->Add();
    StartAttemptAt(std::move(endpoint), remaining);
  }
}

void RoutedCall::WriteRequest(const Attempt& attempt,
                              evhttp_request* out,
                              Milliseconds remaining) {
  evkeyvalq* headers = evhttp_request_get_output_headers(out);
  CopyEndToEndHeaders(
      *context_->header_codec, evhttp_request_get_input_headers(request_.http),
      headers,
      request_.uses_accounts ? AccountHeaders::kOmit : AccountHeaders::kCopy);
  if (!request_.account.empty()) {
    evhttp_add_header(headers, kAccountHeader, request_.account.c_str());
  }
  AddHostIfMissing(headers, request_.route->row.service.c_str());
  evhttp_add_header(headers, kServiceHeader,
                    request_.route->row.service.c_str());
  AddHeader(headers, kDeadlineHeader, remaining.count());
  if (request_.policy.latency_objective > Milliseconds::zero()) {
    const auto left = std::chrono::floor<Milliseconds>(
        request_.first_attempt + request_.policy.latency_objective - Now());
    AddHeader(headers, kObjectiveHeader, std::max<int64_t>(left.count(), 0));
  }
  if (request_.policy.rank > 0) {
    AddHeader(headers, kRankHeader, request_.policy.rank);
  }
  AddHeader(
      headers, kAttemptHeader,
      delivered_attempts_ + static_cast<int>(attempts_in_flight_.size()) + 1);
  if (!request_.caller_service.empty()) {
    evhttp_add_header(headers, kCallerHeader, request_.caller_service.c_str());
  }
  if (!attempt.id.empty()) {
    evhttp_add_header(headers, kAttemptIdHeader, attempt.id.c_str());
  }
  evhttp_add_header(headers, kTraceHeader,
                    attempt.span->context().ToHeader().c_str());
  evbuffer* body = evhttp_request_get_input_buffer(request_.http);
  if (const size_t size = evbuffer_get_length(body); size > 0) {
    AddHeader(headers, "Content-Length", static_cast<int64_t>(size));
    // References the caller's body without consuming it, so that a retry can
    // send it again.
    evbuffer_add_buffer_reference(evhttp_request_get_output_buffer(out), body);
  }
}

ResponseVerdict RoutedCall::Validate(const Attempt& attempt,
                                     evhttp_request* response) const {
  const evkeyvalq* headers = evhttp_request_get_input_headers(response);
  if (FindHeader(headers, kOutcomeHeader) ==
          CallOutcomeName(CallOutcome::kDone) &&
      context_->header_codec->ClassifyResponse(
          evhttp_request_get_input_headers(request_.http),
          evhttp_request_get_response_code(response),
          headers) == TargetResponseKind::kMismatched) {
    // Only attempts of one-time calls have an id of their own between nodes.
    return ResponseVerdict::kMismatched;
  }
  const std::string_view id = FindHeader(headers, kAttemptIdHeader);
  if (attempt.id.empty() || id == attempt.id) {
    return ResponseVerdict::kAccepted;
  }
  // Responses that evhttp generates have no id. They prove nothing.
  return id.empty() && FindHeader(headers, kNotRunHeader).empty()
             ? ResponseVerdict::kAccepted
             : ResponseVerdict::kMismatched;
}

void RoutedCall::OnExchangeFinished(Attempt* attempt,
                                    ExchangeOutcome exchange_outcome,
                                    HttpRequestPtr response) {
  const auto found = std::find_if(
      attempts_in_flight_.begin(), attempts_in_flight_.end(),
      [attempt](const auto& other) { return other.get() == attempt; });
  const std::unique_ptr<Attempt> ended = std::move(*found);
  attempts_in_flight_.erase(found);
  context_->deleter->Add(std::move(ended->exchange));
  AttemptOutcome attempt_outcome = AttemptOutcome::kFailure;
  CallResult result = ClassifyExchange(ended.get(), exchange_outcome,
                                       std::move(response), &attempt_outcome);
  if (result.outcome != CallOutcome::kNotRun || result.reached_target) {
    ++delivered_attempts_;
  }
  EndAttempt(ended.get(), attempt_outcome,
             result.outcome == CallOutcome::kDone
                 ? CallOutcomeName(result.outcome)
                 : CallReasonName(result.reason));
  if (result.outcome == CallOutcome::kUnknown) {
    maybe_ran_ = true;
  }
  if (result.outcome == CallOutcome::kDone && !is_one_time() &&
      evhttp_request_get_response_code(result.response.get()) >=
          kInternalError) {
    failed_response_ = std::move(result);
    result = CallResult::Unknown(CallReason::kUpstreamFailed,
                                 "the target responded with a server error");
  }
  if (ReserveRetry(&result)) {
    context_->metrics->ForService(request_.route->row.service).retries->Add();
    context_->logger->Info(
        "call_retried", {{"call", request_.call_id},
                         {"service", request_.route->row.service},
                         {"target", ended->endpoint->record().id},
                         {"cause", std::string(CallReasonName(result.reason))},
                         {"detail", result.detail},
                         {"reached_targets", int64_t{delivered_attempts_}}});
    StartAttempt(std::move(result));
  } else if (result.outcome == CallOutcome::kDone ||
             attempts_in_flight_.empty()) {
    Finish(std::move(result));
  }
}

CallResult RoutedCall::ClassifyExchange(Attempt* attempt,
                                        ExchangeOutcome exchange_outcome,
                                        HttpRequestPtr response,
                                        AttemptOutcome* attempt_outcome) {
  // A timeout after less than a quarter of the time limit is due to the
  // caller's short deadline and must not count against the endpoint.
  const bool conclusive =
      4 * (Now() - attempt->start) >= request_.policy.time_limit;
  const AttemptOutcome timeout =
      conclusive ? AttemptOutcome::kTimeout : AttemptOutcome::kNeutral;
  switch (exchange_outcome) {
    case ExchangeOutcome::kCompleted: {
      CallResult result =
          ReadResponse(*attempt, std::move(response), attempt_outcome);
      if (*attempt_outcome == AttemptOutcome::kTimeout) {
        *attempt_outcome = timeout;
      }
      return result;
    }
    case ExchangeOutcome::kNotSent:
      *attempt_outcome = AttemptOutcome::kUnreachable;
      return CallResult::Refused(CallReason::kUnreachable,
                                 "no connection to the node of the target");
    case ExchangeOutcome::kStaleConnection:
      *attempt_outcome = AttemptOutcome::kNeutral;
      return CallResult::Refused(
          CallReason::kUnreachable,
          "the kept connection to the node received unexpected bytes before "
          "the call was sent");
    case ExchangeOutcome::kTimeout:
      *attempt_outcome = timeout;
      return CallResult::Unknown(CallReason::kDeadline,
                                 "no response within the time limit");
    case ExchangeOutcome::kMismatched:
      return CallResult::Unknown(
          CallReason::kUpstreamFailed,
          "the node's response does not belong to the attempt");
    case ExchangeOutcome::kBroken:
      break;
    case ExchangeOutcome::kTooLarge:
      *attempt_outcome = AttemptOutcome::kNeutral;
      return CallResult::Unknown(CallReason::kTooLarge,
                                 "the response exceeds the size limit");
    case ExchangeOutcome::kOverBudget:
      *attempt_outcome = AttemptOutcome::kNeutral;
      return CallResult::Unknown(
          CallReason::kUpstreamFailed,
          "the response exceeds what is left of the memory for responses");
  }
  return CallResult::Unknown(
      CallReason::kUpstreamFailed,
      "the connection closed before the response was complete");
}

CallResult RoutedCall::ReadResponse(const Attempt& attempt,
                                    HttpRequestPtr response,
                                    AttemptOutcome* attempt_outcome) {
  const evkeyvalq* headers = evhttp_request_get_input_headers(response.get());
  const TimePoint now = Now();
  const Milliseconds unresponsive_time = attempt.endpoint->OnResponse(now);
  if (unresponsive_time > Milliseconds::zero()) {
    context_->logger->Info("endpoint_silence_ended",
                           {{"service", request_.route->row.service},
                            {"target", attempt.endpoint->record().id},
                            {"call", request_.call_id},
                            {"silent_ms", int64_t{unresponsive_time.count()}},
                            {"in_flight", attempt.endpoint->in_flight()}});
  }
  if (const std::optional<TargetLoad> load =
          TargetLoadReport::ParseHeader(FindHeader(headers, kLoadHeader))
              .load) {
    attempt.endpoint->OnLoadReport(*load, now);
  }
  if (const auto occupancy = FindNumber(headers, kOccupancyHeader)) {
    constexpr double kThousand = 1000;
    attempt.endpoint->OnOccupancy(static_cast<double>(*occupancy) / kThousand,
                                  now);
  }
  const std::string_view outcome = FindHeader(headers, kOutcomeHeader);
  const CallReason reason = ParseCallReason(FindHeader(headers, kReasonHeader));
  CallResult result;
  if (outcome == CallOutcomeName(CallOutcome::kDone)) {
    // 502 to 504 report a failure of a service behind the target, not of the
    // target itself.
    *attempt_outcome =
        evhttp_request_get_response_code(response.get()) == kInternalError
            ? AttemptOutcome::kFailure
            : AttemptOutcome::kSuccess;
    target_time_ = std::chrono::microseconds(
        FindNumber(headers, kTargetTimeHeader).value_or(0));
    result.outcome = CallOutcome::kDone;
  } else if (FindHeader(headers, kNotRunHeader) == "1") {
    *attempt_outcome = reason == CallReason::kUnreachable
                           ? AttemptOutcome::kFailure
                           : AttemptOutcome::kNeutral;
    if (reason == CallReason::kOverloaded ||
        reason == CallReason::kRateLimited) {
      attempt.endpoint->OnOverloaded(now);
    } else if (reason == CallReason::kDraining ||
               reason == CallReason::kWrongService) {
      attempt.endpoint->OnDraining(now);
    }
    result =
        CallResult::Refused(reason, fmt::format("the node {} refused the call",
                                                attempt.endpoint->record().id));
    result.reached_target = !FindHeader(headers, kReachedHeader).empty();
    if (const auto after = FindNumber(headers, kRetryAfterHeader)) {
      result.retry_after = Milliseconds(*after);
    }
  } else {
    *attempt_outcome = reason == CallReason::kDeadline
                           ? AttemptOutcome::kTimeout
                           : AttemptOutcome::kFailure;
    result = CallResult::Unknown(
        reason, fmt::format("the node {} does not know how the call ended",
                            attempt.endpoint->record().id));
  }
  result.retried = !FindHeader(headers, kRetriedHeader).empty();
  if (result.outcome == CallOutcome::kDone) {
    result.response = std::move(response);
  }
  return result;
}

bool RoutedCall::ReserveRetry(CallResult* result) {
  if (result->outcome == CallOutcome::kDone || result->retried ||
      !IsRetryable(result->reason) || !HasAttemptsLeft()) {
    return false;
  }
  if (result->outcome == CallOutcome::kUnknown && is_one_time()) {
    return false;
  }
  if (Now() + kHopMargin >= request_.deadline ||
      attempted_endpoints_.size() >= request_.pool->size()) {
    return false;
  }
  const std::optional<double> room = RequiredRoom(*result);
  if (room && !request_.pool->HasRoom(attempted_endpoints_, *room)) {
    return false;
  }
  if (delivered_attempts_ == 0) {
    // No target has received the call, so the next attempt adds no load at a
    // target and is not charged to the budget.
    return true;
  }
  // The budget is checked last, so that it is charged only for retries that
  // are sent.
  const bool allowed = request_.pool->retry_budget().TryTake();
  // A result whose retry the budget forbids is marked as retried too.
  // Otherwise each node nearer to the caller would spend its own budget on the
  // call.
  result->retried = !allowed;
  return allowed;
}

void RoutedCall::EndAttempt(Attempt* attempt,
                            AttemptOutcome attempt_outcome,
                            std::string_view outcome) {
  attempt->span->End(outcome);
  const std::string& service = request_.route->row.service;
  EndpointState* const endpoint = attempt->endpoint.get();
  const NodeId& id = endpoint->record().id;
  const bool was_on_probation = endpoint->ejection().is_on_probation();
  if (request_.pool->OnAttemptEnded(endpoint, attempt_outcome,
                                    Now() - attempt->start)) {
    const Milliseconds period = endpoint->ejection().Remaining(Now());
    context_->logger->Warning("endpoint_ejected",
                              {{"service", service},
                               {"target", id},
                               {"call", request_.call_id},
                               {"outcome", std::string(outcome)},
                               {"period_ms", int64_t{period.count()}}});
    context_->metrics->ForService(service).ejections->Add();
    if (context_->on_ejected) {
      context_->on_ejected(service, id, period);
    }
  } else if (was_on_probation && !endpoint->ejection().is_on_probation()) {
    context_->logger->Info(
        "endpoint_back",
        {{"service", service}, {"target", id}, {"cause", "a call succeeded"}});
  }
}

void RoutedCall::FinishLater(CallResult result) {
  pending_result_ = std::move(result);
  finish_timer_ = context_->loop->timers().SubscribeOnce(
      Milliseconds::zero(), [this] { Finish(std::move(pending_result_)); });
}

void RoutedCall::Finish(CallResult result) {
  context_->loop->timers().Cancel(hedge_timer_);
  // For a superseded attempt, the time elapsed so far is a lower bound of its
  // duration.
  for (const auto& attempt : attempts_in_flight_) {
    EndAttempt(attempt.get(), AttemptOutcome::kSuperseded, "overtaken");
  }
  attempts_in_flight_.clear();
  if (result.outcome != CallOutcome::kDone && failed_response_) {
    result = *std::exchange(failed_response_, std::nullopt);
  }
  result.retried = result.retried || started_attempts_ > 1;
  if (result.outcome == CallOutcome::kNotRun && maybe_ran_) {
    // An earlier attempt may have run the call, so a refusal of the last
    // attempt does not prove that the call was not run.
    result.outcome = CallOutcome::kUnknown;
  }
  maybe_dispatched_ = result.outcome != CallOutcome::kNotRun;
  const Callback callback = std::move(callback_);
  callback(std::move(result));
}

}  // namespace dragonflytack
