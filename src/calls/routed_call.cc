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
#include "onetime/attempt_numbers.h"

namespace dragonflytack {

namespace {

// Taken off the deadline for the next node, so that its definite answer arrives
// before this node gives up.
constexpr Milliseconds kHopMargin{2};

// Attempts that a local lack of connections may cost without a retry.
constexpr int kMaxLocalRefusals = 3;

// Nodes that one call asks, those included that refuse it unseen by a target.
constexpr int kMaxTries = 6;

// Share of the latency objective after which an idempotent call is tried a
// second time. Later, the second answer would miss the objective as well;
// earlier, calls that are only long would be repeated.
constexpr double kHedgeShare = 0.6;

constexpr int kInternalError = 500;

// Returns whether another target may do better after a refusal for `reason`.
bool IsWorthRetrying(CallReason reason) {
  switch (reason) {
    case CallReason::kBadRequest:
    case CallReason::kNoService:
    case CallReason::kTooLarge:
      return false;
    default:
      return true;
  }
}

// The load in thousandths, as the node beside the target passed it on.
std::optional<double> FindLoad(const evkeyvalq* headers) {
  constexpr double kThousand = 1000;
  const std::optional<int64_t> load = FindNumber(headers, kLoadHeader);
  return load ? std::optional(static_cast<double>(*load) / kThousand)
              : std::nullopt;
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
  for (const auto& attempt : open_) {
    EndAttempt(attempt.get(), AttemptOutcome::kNeutral, "cancelled");
  }
}

void RoutedCall::Start() {
  request_.pool->retry_budget().OnCall(context_->retry_share->share());
  Begin(CallResult::Refused(CallReason::kNoTarget,
                            "no target of the service can take the call"));
}

TimePoint RoutedCall::Now() const {
  return context_->loop->clock().Now();
}

void RoutedCall::Begin(CallResult previous) {
  for (int refusals = 0; refusals < kMaxLocalRefusals; ++refusals) {
    const auto remaining =
        std::chrono::floor<Milliseconds>(request_.deadline - Now());
    if (remaining <= kHopMargin) {
      previous.reason = CallReason::kDeadline;
      previous.detail = "no time is left for an attempt";
      break;
    }
    ServicePool::EndpointPtr target = request_.pool->Choose(tried_);
    if (target == nullptr) {
      break;
    }
    if (BeginAt(std::move(target), remaining)) {
      ArmHedge();
      return;
    }
    previous = CallResult::Refused(CallReason::kOverloaded,
                                   "all connections to the target are in use");
  }
  if (open_.empty()) {
    FinishLater(std::move(previous));
  }
}

bool RoutedCall::BeginAt(ServicePool::EndpointPtr target, Milliseconds limit) {
  const ServiceRow& row = request_.route->row;
  tried_.push_back(target);
  auto owned = std::make_unique<Attempt>();
  Attempt* const attempt = owned.get();
  attempt->target = std::move(target);
  attempt->number = attempts_ + 1;
  attempt->start = Now();
  const NodeRecord& record = attempt->target->record();
  attempt->span = std::make_unique<CallSpan>(context_, request_.trace,
                                             "attempt", row.service);
  attempt->span->set_target(record.id, attempt->number);
  attempt->exchange = context_->connections->Start(
      {record.address, record.mesh_port}, row.max_connections, limit,
      evhttp_request_get_command(request_.http), request_.uri.c_str(),
      [&](evhttp_request* out) {
        WriteRequest(*attempt, out, limit - kHopMargin);
      },
      [this, attempt](ExchangeOutcome end, HttpRequestPtr response) {
        OnExchangeEnd(attempt, end, std::move(response));
      });
  attempt->target->OnSent(attempt->start);
  if (attempt->exchange == nullptr) {
    EndAttempt(attempt, AttemptOutcome::kNeutral, "overloaded");
    return false;
  }
  ++attempts_;
  maybe_dispatched_ = true;
  open_.push_back(std::move(owned));
  return true;
}

bool RoutedCall::HasAttemptsLeft() const {
  return attempts_ < kMaxTries &&
         arrivals_ + static_cast<int>(open_.size()) < request_.policy.attempts;
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
      context_->loop->timers().SubscribeOnce(after, [this] { OnHedge(); });
}

void RoutedCall::OnHedge() {
  const auto remaining =
      std::chrono::floor<Milliseconds>(request_.deadline - Now());
  if (open_.empty() || remaining <= kHopMargin || !HasAttemptsLeft()) {
    return;
  }
  ServicePool::EndpointPtr target = request_.pool->ChooseForHedge(tried_);
  if (target != nullptr && request_.pool->retry_budget().TryTake()) {
    context_->metrics->ForService(request_.route->row.service).retries->Add();
    BeginAt(std::move(target), remaining);
  }
}

void RoutedCall::WriteRequest(const Attempt& attempt,
                              evhttp_request* out,
                              Milliseconds remaining) {
  evkeyvalq* headers = evhttp_request_get_output_headers(out);
  CopyEndToEndHeaders(*context_->header_codec,
                      evhttp_request_get_input_headers(request_.http), headers);
  AddHostIfMissing(headers, request_.route->row.service.c_str());
  evhttp_add_header(headers, kServiceHeader,
                    request_.route->row.service.c_str());
  AddHeader(headers, kDeadlineHeader, remaining.count());
  if (request_.policy.latency_objective > Milliseconds::zero()) {
    const auto left = std::chrono::floor<Milliseconds>(
        request_.start + request_.policy.latency_objective - Now());
    AddHeader(headers, kObjectiveHeader, std::max<int64_t>(left.count(), 0));
  }
  if (request_.policy.rank > 0) {
    AddHeader(headers, kRankHeader, request_.policy.rank);
  }
  AddHeader(headers, kAttemptHeader,
            arrivals_ + static_cast<int>(open_.size()) + 1);
  if (!request_.caller_service.empty()) {
    evhttp_add_header(headers, kCallerHeader, request_.caller_service.c_str());
  }
  if (is_one_time()) {
    const NodeRecord& record = attempt.target->record();
    evhttp_add_header(headers, kAttemptIdHeader,
                      context_->attempts->Next(record.id, record.incarnation)
                          .ToText()
                          .c_str());
  }
  evhttp_add_header(headers, kTraceHeader,
                    attempt.span->context().ToHeader().c_str());
  evbuffer* body = evhttp_request_get_input_buffer(request_.http);
  if (const size_t size = evbuffer_get_length(body); size > 0) {
    AddHeader(headers, "Content-Length", static_cast<int64_t>(size));
    // References the caller's bytes, which a retry may need again.
    evbuffer_add_buffer_reference(evhttp_request_get_output_buffer(out), body);
  }
}

void RoutedCall::OnExchangeEnd(Attempt* attempt,
                               ExchangeOutcome end,
                               HttpRequestPtr response) {
  const auto found = std::find_if(
      open_.begin(), open_.end(),
      [attempt](const auto& other) { return other.get() == attempt; });
  const std::unique_ptr<Attempt> ended = std::move(*found);
  open_.erase(found);
  context_->deleter->Add(std::move(ended->exchange));
  AttemptOutcome health = AttemptOutcome::kFailure;
  CallResult result =
      ReadExchange(ended.get(), end, std::move(response), &health);
  if (result.outcome != CallOutcome::kNotRun || result.reached_target) {
    ++arrivals_;
  }
  EndAttempt(ended.get(), health,
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
                                 "the target answered with a failure");
  }
  if (MayRetry(&result)) {
    context_->metrics->ForService(request_.route->row.service).retries->Add();
    context_->logger->Info(
        "call_retried", {{"call", request_.call_id},
                         {"service", request_.route->row.service},
                         {"target", ended->target->record().id},
                         {"cause", std::string(CallReasonName(result.reason))},
                         {"detail", result.detail},
                         {"reached_targets", int64_t{arrivals_}}});
    Begin(std::move(result));
  } else if (result.outcome == CallOutcome::kDone || open_.empty()) {
    Finish(std::move(result));
  }
}

CallResult RoutedCall::ReadExchange(Attempt* attempt,
                                    ExchangeOutcome end,
                                    HttpRequestPtr response,
                                    AttemptOutcome* health) {
  // A caller with an unusually short deadline says nothing about the target.
  const bool fair = 4 * (Now() - attempt->start) >= request_.policy.time_limit;
  const AttemptOutcome timeout =
      fair ? AttemptOutcome::kTimeout : AttemptOutcome::kNeutral;
  switch (end) {
    case ExchangeOutcome::kCompleted: {
      CallResult result = ReadResponse(*attempt, std::move(response), health);
      if (*health == AttemptOutcome::kTimeout) {
        *health = timeout;
      }
      return result;
    }
    case ExchangeOutcome::kNotSent:
      *health = AttemptOutcome::kUnreachable;
      return CallResult::Refused(CallReason::kUnreachable,
                                 "no connection to the node of the target");
    case ExchangeOutcome::kTimeout:
      *health = timeout;
      return CallResult::Unknown(CallReason::kDeadline,
                                 "no answer within the time limit");
    case ExchangeOutcome::kBroken:
      break;
    case ExchangeOutcome::kTooLarge:
      *health = AttemptOutcome::kNeutral;
      return CallResult::Unknown(CallReason::kTooLarge,
                                 "the answer is over the size limit");
  }
  return CallResult::Unknown(
      CallReason::kUpstreamFailed,
      "the connection ended before the whole answer came");
}

CallResult RoutedCall::ReadResponse(const Attempt& attempt,
                                    HttpRequestPtr response,
                                    AttemptOutcome* health) {
  const evkeyvalq* headers = evhttp_request_get_input_headers(response.get());
  const TimePoint now = Now();
  const Milliseconds silence = attempt.target->OnResponse(now);
  if (silence > Milliseconds::zero()) {
    context_->logger->Info("endpoint_silence_ended",
                           {{"service", request_.route->row.service},
                            {"target", attempt.target->record().id},
                            {"call", request_.call_id},
                            {"silent_ms", int64_t{silence.count()}},
                            {"in_flight", attempt.target->in_flight()}});
  }
  if (const std::optional<double> load = FindLoad(headers)) {
    attempt.target->OnLoadReport(*load, now);
  }
  if (const auto occupancy = FindNumber(headers, kOccupancyHeader)) {
    constexpr double kThousand = 1000;
    attempt.target->OnOccupancy(static_cast<double>(*occupancy) / kThousand,
                                now);
  }
  const std::string_view outcome = FindHeader(headers, kOutcomeHeader);
  const CallReason reason = ParseCallReason(FindHeader(headers, kReasonHeader));
  CallResult result;
  if (outcome == CallOutcomeName(CallOutcome::kDone)) {
    // 502 to 504 tell of what lies behind the target.
    *health = evhttp_request_get_response_code(response.get()) == kInternalError
                  ? AttemptOutcome::kFailure
                  : AttemptOutcome::kSuccess;
    target_time_ = std::chrono::microseconds(
        FindNumber(headers, kTargetTimeHeader).value_or(0));
    result.outcome = CallOutcome::kDone;
  } else if (FindHeader(headers, kNotRunHeader) == "1") {
    *health = reason == CallReason::kUnreachable ? AttemptOutcome::kFailure
                                                 : AttemptOutcome::kNeutral;
    if (reason == CallReason::kOverloaded ||
        reason == CallReason::kRateLimited) {
      attempt.target->OnOverloaded(now);
    } else if (reason == CallReason::kDraining ||
               reason == CallReason::kWrongService) {
      attempt.target->OnDraining(now);
    }
    result =
        CallResult::Refused(reason, fmt::format("the node {} refused the call",
                                                attempt.target->record().id));
    result.reached_target = !FindHeader(headers, kReachedHeader).empty();
    if (const auto after = FindNumber(headers, kRetryAfterHeader)) {
      result.retry_after = Milliseconds(*after);
    }
  } else {
    *health = reason == CallReason::kDeadline ? AttemptOutcome::kTimeout
                                              : AttemptOutcome::kFailure;
    result = CallResult::Unknown(
        reason, fmt::format("the node {} does not know how the call ended",
                            attempt.target->record().id));
  }
  result.retried = !FindHeader(headers, kRetriedHeader).empty();
  if (result.outcome == CallOutcome::kDone) {
    result.response = std::move(response);
  }
  return result;
}

bool RoutedCall::MayRetry(CallResult* result) {
  if (result->outcome == CallOutcome::kDone || result->retried ||
      !IsWorthRetrying(result->reason) || !HasAttemptsLeft()) {
    return false;
  }
  if (result->outcome == CallOutcome::kUnknown && is_one_time()) {
    return false;
  }
  if (Now() + kHopMargin >= request_.deadline ||
      tried_.size() >= request_.pool->size()) {
    return false;
  }
  if (arrivals_ == 0) {
    // No target has seen the call, so the next attempt is no repetition.
    return true;
  }
  // The budget is asked last, so that it is charged only for what is sent.
  const bool allowed = request_.pool->retry_budget().TryTake();
  // Without budget the answer is marked as well, or each level above would
  // spend its own budget on it.
  result->retried = !allowed;
  return allowed;
}

void RoutedCall::EndAttempt(Attempt* attempt,
                            AttemptOutcome health,
                            std::string_view outcome) {
  attempt->span->End(outcome);
  const std::string& service = request_.route->row.service;
  EndpointState* const target = attempt->target.get();
  const NodeId& id = target->record().id;
  const bool was_on_probation = target->ejection().is_on_probation();
  if (request_.pool->OnEnded(target, health, Now() - attempt->start)) {
    const Milliseconds period = target->ejection().Remaining(Now());
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
  } else if (was_on_probation && !target->ejection().is_on_probation()) {
    context_->logger->Info(
        "endpoint_back",
        {{"service", service}, {"target", id}, {"cause", "a call succeeded"}});
  }
}

void RoutedCall::FinishLater(CallResult result) {
  pending_ = std::move(result);
  finish_timer_ = context_->loop->timers().SubscribeOnce(
      Milliseconds::zero(), [this] { Finish(std::move(pending_)); });
}

void RoutedCall::Finish(CallResult result) {
  context_->loop->timers().Cancel(hedge_timer_);
  // An attempt that another one has overtaken takes at least as long as it has
  // until now.
  for (const auto& attempt : open_) {
    EndAttempt(attempt.get(), AttemptOutcome::kSuperseded, "overtaken");
  }
  open_.clear();
  if (result.outcome != CallOutcome::kDone && failed_response_) {
    result = *std::exchange(failed_response_, std::nullopt);
  }
  result.retried = result.retried || attempts_ > 1;
  if (result.outcome == CallOutcome::kNotRun && maybe_ran_) {
    // An earlier attempt may have run, so the refusal of the last one does not
    // hold for the call.
    result.outcome = CallOutcome::kUnknown;
  }
  maybe_dispatched_ = result.outcome != CallOutcome::kNotRun;
  const Callback callback = std::move(callback_);
  callback(std::move(result));
}

}  // namespace dragonflytack
