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
  if (target_ != nullptr) {
    EndAttempt(AttemptEnd::kNeutral, "cancelled");
  }
}

void RoutedCall::Start() {
  request_.pool->retry_budget().OnCall();
  Attempt(CallResult::Refused(CallReason::kNoTarget,
                              "no target of the service can take the call"));
}

TimePoint RoutedCall::Now() const {
  return context_->loop->clock().Now();
}

void RoutedCall::Attempt(CallResult previous) {
  const ServiceRow& row = request_.route->row;
  for (int refusals = 0; refusals < kMaxLocalRefusals; ++refusals) {
    const TimePoint now = Now();
    const auto remaining =
        std::chrono::floor<Milliseconds>(request_.deadline - now);
    if (remaining <= kHopMargin) {
      previous.reason = CallReason::kDeadline;
      previous.detail = "no time is left for an attempt";
      break;
    }
    target_ = request_.pool->Choose(tried_);
    if (target_ == nullptr) {
      break;
    }
    tried_.push_back(target_);
    // An idempotent call that hangs leaves a quarter of its time to a retry.
    const bool may_retry =
        !is_one_time() && arrivals_ + 1 < request_.policy.attempts;
    const Milliseconds limit = may_retry ? remaining * 3 / 4 : remaining;
    const NodeRecord& record = target_->record();
    span_ = std::make_unique<CallSpan>(context_, request_.trace, "attempt",
                                       row.service);
    span_->set_target(record.id, attempts_ + 1);
    attempt_start_ = now;
    exchange_ = context_->connections->Start(
        {record.address, record.mesh_port}, row.max_connections, limit,
        evhttp_request_get_command(request_.http), request_.uri.c_str(),
        [this, limit](evhttp_request* out) {
          WriteRequest(out, std::max(limit - kHopMargin, Milliseconds(1)));
        },
        [this](ExchangeEnd end, HttpRequestPtr answer) {
          OnExchangeEnd(end, std::move(answer));
        });
    target_->OnSent();
    if (exchange_ != nullptr) {
      ++attempts_;
      maybe_dispatched_ = true;
      return;
    }
    EndAttempt(AttemptEnd::kNeutral, "overloaded");
    previous = CallResult::Refused(CallReason::kOverloaded,
                                   "all connections to the target are in use");
  }
  FinishLater(std::move(previous));
}

void RoutedCall::WriteRequest(evhttp_request* out, Milliseconds remaining) {
  evkeyvalq* headers = evhttp_request_get_output_headers(out);
  CopyEndToEndHeaders(*context_->dialect,
                      evhttp_request_get_input_headers(request_.http), headers);
  AddHostIfMissing(headers, request_.route->row.service.c_str());
  evhttp_add_header(headers, kServiceHeader,
                    request_.route->row.service.c_str());
  AddHeader(headers, kDeadlineHeader, remaining.count());
  AddHeader(headers, kAttemptHeader, attempts_ + 1);
  AddHeader(headers, kRankHeader, request_.policy.rank);
  if (!request_.caller_service.empty()) {
    evhttp_add_header(headers, kCallerHeader, request_.caller_service.c_str());
  }
  if (is_one_time()) {
    const NodeRecord& record = target_->record();
    evhttp_add_header(headers, kAttemptIdHeader,
                      context_->attempts->Next(record.id, record.incarnation)
                          .ToText()
                          .c_str());
  }
  evhttp_add_header(headers, kTraceHeader, span_->context().ToHeader().c_str());
  evbuffer* body = evhttp_request_get_input_buffer(request_.http);
  if (const size_t size = evbuffer_get_length(body); size > 0) {
    AddHeader(headers, "Content-Length", static_cast<int64_t>(size));
    // References the caller's bytes, which a retry may need again.
    evbuffer_add_buffer_reference(evhttp_request_get_output_buffer(out), body);
  }
}

void RoutedCall::OnExchangeEnd(ExchangeEnd end, HttpRequestPtr answer) {
  context_->deleter->Add(std::move(exchange_));
  // A caller with an unusually short deadline says nothing about the target.
  const bool fair = 4 * (Now() - attempt_start_) >= request_.policy.time_limit;
  const AttemptEnd timeout = fair ? AttemptEnd::kTimeout : AttemptEnd::kNeutral;
  AttemptEnd health = AttemptEnd::kFailure;
  CallResult result;
  switch (end) {
    case ExchangeEnd::kAnswered:
      result = ReadAnswer(std::move(answer), &health);
      if (health == AttemptEnd::kTimeout) {
        health = timeout;
      }
      break;
    case ExchangeEnd::kNotSent:
      result = CallResult::Refused(CallReason::kUnreachable,
                                   "no connection to the node of the target");
      break;
    case ExchangeEnd::kTimeout:
      health = timeout;
      result = CallResult::Unknown(CallReason::kDeadline,
                                   "no answer within the time limit");
      break;
    case ExchangeEnd::kBroken:
      result = CallResult::Unknown(
          CallReason::kUpstreamFailed,
          "the connection ended before the whole answer came");
      break;
    case ExchangeEnd::kTooLarge:
      health = AttemptEnd::kNeutral;
      result = CallResult::Unknown(CallReason::kTooLarge,
                                   "the answer is over the size limit");
      break;
  }
  if (result.outcome != CallOutcome::kNotRun || result.reached_target) {
    ++arrivals_;
  }
  EndAttempt(health, result.outcome == CallOutcome::kDone
                         ? CallOutcomeName(result.outcome)
                         : CallReasonName(result.reason));
  if (result.outcome == CallOutcome::kUnknown) {
    maybe_ran_ = true;
  }
  if (MayRetry(&result)) {
    context_->metrics->ForService(request_.route->row.service).retries->Add();
    Attempt(std::move(result));
  } else {
    Finish(std::move(result));
  }
}

CallResult RoutedCall::ReadAnswer(HttpRequestPtr answer, AttemptEnd* health) {
  const evkeyvalq* headers = evhttp_request_get_input_headers(answer.get());
  const TimePoint now = Now();
  if (const std::optional<double> load = FindLoad(headers)) {
    target_->OnLoadReport(*load, now);
  }
  const std::string_view outcome = FindHeader(headers, kOutcomeHeader);
  const CallReason reason = ParseCallReason(FindHeader(headers, kReasonHeader));
  CallResult result;
  if (outcome == CallOutcomeName(CallOutcome::kDone)) {
    // 502 to 504 tell of what lies behind the target.
    constexpr int kInternalError = 500;
    *health = evhttp_request_get_response_code(answer.get()) == kInternalError
                  ? AttemptEnd::kFailure
                  : AttemptEnd::kSuccess;
    target_time_ = std::chrono::microseconds(
        FindNumber(headers, kTargetTimeHeader).value_or(0));
    result.outcome = CallOutcome::kDone;
  } else if (FindHeader(headers, kNotRunHeader) == "1") {
    *health = reason == CallReason::kUnreachable ? AttemptEnd::kFailure
                                                 : AttemptEnd::kNeutral;
    if (reason == CallReason::kOverloaded ||
        reason == CallReason::kRateLimited) {
      target_->OnOverloaded(now);
    } else if (reason == CallReason::kDraining ||
               reason == CallReason::kWrongService) {
      target_->OnDraining(now);
    }
    result = CallResult::Refused(
        reason,
        fmt::format("the node {} refused the call", target_->record().id));
    result.reached_target = !FindHeader(headers, kReachedHeader).empty();
    if (const auto after = FindNumber(headers, kComeBackHeader)) {
      result.come_back = Milliseconds(*after);
    }
  } else {
    *health = reason == CallReason::kDeadline ? AttemptEnd::kTimeout
                                              : AttemptEnd::kFailure;
    result = CallResult::Unknown(
        reason, fmt::format("the node {} does not know how the call ended",
                            target_->record().id));
  }
  result.retried = !FindHeader(headers, kRetriedHeader).empty();
  if (result.outcome == CallOutcome::kDone) {
    result.answer = std::move(answer);
  }
  return result;
}

bool RoutedCall::MayRetry(CallResult* result) {
  if (result->outcome == CallOutcome::kDone || result->retried ||
      !IsWorthRetrying(result->reason) || attempts_ >= kMaxTries ||
      arrivals_ >= request_.policy.attempts) {
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

void RoutedCall::EndAttempt(AttemptEnd health, std::string_view outcome) {
  span_->End(outcome);
  const std::string& service = request_.route->row.service;
  const NodeId& target = target_->record().id;
  const bool was_on_probation = target_->ejection().is_on_probation();
  if (request_.pool->OnEnded(target_.get(), health, Now() - attempt_start_)) {
    const Milliseconds period = target_->ejection().Remaining(Now());
    context_->logger->Warning("endpoint_ejected",
                              {{"service", service},
                               {"target", target},
                               {"outcome", std::string(outcome)},
                               {"period_ms", int64_t{period.count()}}});
    context_->metrics->ForService(service).ejections->Add();
    if (context_->on_ejected) {
      context_->on_ejected(service, target, period);
    }
  } else if (was_on_probation && !target_->ejection().is_on_probation()) {
    context_->logger->Info("endpoint_back", {{"service", service},
                                             {"target", target},
                                             {"cause", "a call succeeded"}});
  }
  target_ = nullptr;
}

void RoutedCall::FinishLater(CallResult result) {
  pending_ = std::move(result);
  finish_timer_ = context_->loop->timers().SubscribeOnce(
      Milliseconds::zero(), [this] { Finish(std::move(pending_)); });
}

void RoutedCall::Finish(CallResult result) {
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
