#include "calls/target_proxy.h"

#include <algorithm>
#include <cassert>
#include <optional>
#include <string>
#include <utility>

#include <event2/buffer.h>
#include <event2/http.h>

#include "calls/call_metrics.h"
#include "calls/call_span.h"
#include "calls/connection_pool.h"
#include "calls/deferred_deleter.h"
#include "calls/http_headers.h"
#include "calls/retry_share.h"
#include "calls/service_share.h"
#include "calls/target_proxy_call.h"
#include "dragonflytack/accounts/call_rank.h"
#include "dragonflytack/base/event_loop.h"
#include "dragonflytack/base/hash.h"
#include "dragonflytack/base/logger.h"
#include "dragonflytack/calls/call_header_codec.h"
#include "dragonflytack/observe/tracer.h"
#include "dragonflytack/routing/route_index.h"
#include "dragonflytack/routing/route_snapshot.h"
#include "dragonflytack/table/route_row.h"
#include "net/record_json.h"
#include "onetime/attempt_guard.h"
#include "routing/router.h"

namespace dragonflytack {

namespace {

// Time for a call to reach the target after it was started, on a host that
// does not schedule this process for a while.
constexpr Milliseconds kSendMargin{250};

constexpr int kFirstFailureStatus = 500;

bool IsLeaving(const LocalTarget& target) {
  return target.state == TargetState::kDraining ||
         target.state == TargetState::kLeft;
}

ResponseVerdict ToVerdict(TargetResponseKind kind) {
  switch (kind) {
    case TargetResponseKind::kResponse:
      return ResponseVerdict::kAccepted;
    case TargetResponseKind::kNotRun:
    case TargetResponseKind::kWrongTarget:
      return ResponseVerdict::kRefused;
    case TargetResponseKind::kMismatched:
      break;
  }
  return ResponseVerdict::kMismatched;
}

}  // namespace

TargetProxy::TargetProxy(const CallContext* context,
                         Milliseconds leaving_time,
                         std::function<void()> on_call_ended)
    : context_(context),
      leaving_time_(leaving_time),
      load_reports_(context),
      on_call_ended_(std::move(on_call_ended)) {}

TargetProxy::~TargetProxy() {
  context_->loop->timers().Cancel(queue_timer_);
  assert(calls_.empty());
}

void TargetProxy::Drain(TimePoint cut_off_time) {
  draining_ = true;
  cut_off_time_ = cut_off_time;
}

void TargetProxy::CutOff() {
  draining_ = true;
  // Queued calls must not take the slots that the others release.
  RefuseQueued(CallReason::kStopping, "the node is stopping");
  while (!calls_.empty()) {
    Call* const call = calls_.begin()->first;
    call->exchange.reset();
    Reply(call,
          CallResult::Unknown(CallReason::kStopping, "the node is stopping"));
    ReleaseSlot(call);
    Remove(call);
  }
}

void TargetProxy::OnRequest(evhttp_request* request) {
  auto owned = std::make_unique<Call>(this, request);
  Call* call = owned.get();
  calls_.emplace(call, std::move(owned));
  context_->metrics->target_calls()->Set(static_cast<int64_t>(calls_.size()));
  std::optional<CallResult> refusal = AdmitAttempt(call);
  if (!refusal) {
    refusal = Validate(call);
  }
  if (!refusal) {
    refusal = StartOrEnqueue(call);
  }
  if (refusal) {
    Reply(call, *refusal);
    Remove(call);
  }
}

std::optional<CallResult> TargetProxy::AdmitAttempt(Call* call) {
  const std::string_view text =
      FindHeader(call->inbound.headers(), kAttemptIdHeader);
  if (text.empty()) {
    return std::nullopt;
  }
  const std::optional<AttemptId> attempt = AttemptId::Parse(text);
  if (!attempt) {
    return CallResult::Unknown(CallReason::kBadRequest, "malformed attempt id");
  }
  switch (
      context_->attempt_guard->Admit(*attempt, context_->loop->clock().Now())) {
    case AttemptGuard::Decision::kStart:
      call->attempt = attempt;
      return std::nullopt;
    case AttemptGuard::Decision::kNotStarted:
      return CallResult::Refused(CallReason::kDraining,
                                 "the attempt has already been refused");
    case AttemptGuard::Decision::kAlreadyStarted:
      return CallResult::Unknown(CallReason::kAttemptStarted,
                                 "the attempt has already been started");
    case AttemptGuard::Decision::kTooOld:
      return CallResult::Unknown(
          CallReason::kAttemptTooOld,
          "the attempt is addressed to an earlier process or too old");
  }
  return std::nullopt;
}

std::optional<CallResult> TargetProxy::Validate(Call* call) {
  const evkeyvalq* headers = call->inbound.headers();
  if (draining_ || IsLeaving(target_)) {
    return CallResult::Refused(CallReason::kDraining, "the target is draining");
  }
  if (route_ == nullptr ||
      FindHeader(headers, kServiceHeader) != target_.service) {
    return CallResult::Refused(CallReason::kWrongService,
                               "the local target serves another service");
  }
  if (target_.state == TargetState::kStarting) {
    return CallResult::Refused(CallReason::kDraining, "the target starts");
  }
  const TimePoint now = context_->loop->clock().Now();
  const int64_t time_left =
      FindNumber(headers, kDeadlineHeader).value_or(route_->row.deadline_ms);
  call->terms.route = RouteOf(*call);
  call->terms.deadline = now + Milliseconds(time_left);
  call->terms.objective =
      now +
      Milliseconds(FindNumber(headers, kObjectiveHeader).value_or(time_left));
  call->terms.rank = static_cast<int>(std::clamp<int64_t>(
      FindNumber(headers, kRankHeader).value_or(0), 0, kMaxCallRank));
  call->trace = context_->tracer->Accept(FindHeader(headers, kTraceHeader));
  if (!rate_.TryTake(now)) {
    return CallResult::Refused(CallReason::kRateLimited,
                               "the rate limit of the service is exceeded");
  }
  return std::nullopt;
}

std::string TargetProxy::RouteOf(const Call& call) const {
  const auto& routes = context_->router->routes();
  if (routes == nullptr || routes->route_index == nullptr) {
    return {};
  }
  const RouteRow* route =
      routes->route_index->Find(FindHeader(call.inbound.headers(), "Host"),
                                evhttp_request_get_uri(call.inbound.request()));
  return route == nullptr ? std::string() : route->name;
}

void TargetProxy::Run(Call* call) {
  context_->metrics->slots_in_use()->Set(queue_.slots().in_use());
  if (call->span != nullptr) {
    call->span->End("done");
  }
  call->span = std::make_unique<CallSpan>(context_, call->trace, "target",
                                          target_.service);
  call->sent_at = context_->loop->clock().Now();
  call->run =
      stalls_.OnStart(queue_.LikelyRunTime(call->terms.route), call->sent_at);
  context_->retry_share->OnRun(
      FindNumber(call->inbound.headers(), kAttemptHeader).value_or(1) > 1);
  const Milliseconds remaining = std::max(
      std::chrono::floor<Milliseconds>(call->terms.deadline - call->sent_at),
      Milliseconds(1));
  evhttp_request* in = call->inbound.request();
  call->exchange = context_->connections->Start(
      {target_.address, target_.port}, max_connections_, remaining,
      evhttp_request_get_command(in), evhttp_request_get_uri(in),
      [&](evhttp_request* out) {
        evkeyvalq* headers = evhttp_request_get_output_headers(out);
        const std::string account(
            FindHeader(call->inbound.headers(), kAccountHeader));
        CopyEndToEndHeaders(*context_->header_codec, call->inbound.headers(),
                            headers);
        AddHostIfMissing(headers, target_.service.c_str());
        context_->header_codec->WriteTargetHeaders(
            {remaining,
             std::string(FindHeader(call->inbound.headers(), kCallerHeader)),
             target_.instance, account},
            headers);
        evhttp_add_header(headers, kTraceHeader,
                          call->span->context().ToHeader().c_str());
        evbuffer* body = evhttp_request_get_input_buffer(in);
        if (const size_t size = evbuffer_get_length(body); size > 0) {
          AddHeader(headers, "Content-Length", static_cast<int64_t>(size));
          evbuffer_add_buffer(evhttp_request_get_output_buffer(out), body);
        }
      },
      [this, call](ExchangeOutcome outcome, HttpRequestPtr response) {
        OnExchangeFinished(call, outcome, std::move(response));
      },
      {[this, call](evhttp_request* response) {
         return Validate(*call, response);
       },
       RefusalIdentity(*call)});
  if (call->exchange == nullptr) {
    Reply(call,
          CallResult::Refused(CallReason::kOverloaded,
                              "all connections to the target are in use"));
    ReleaseSlot(call);
    Remove(call);
  }
}

void TargetProxy::OnExchangeFinished(Call* call,
                                     ExchangeOutcome outcome,
                                     HttpRequestPtr response) {
  context_->deleter->Add(std::move(call->exchange));
  const TimePoint now = context_->loop->clock().Now();
  const auto run_time = now - call->sent_at;
  call->has_response = outcome == ExchangeOutcome::kCompleted ||
                       outcome == ExchangeOutcome::kMismatched ||
                       outcome == ExchangeOutcome::kTooLarge;
  CallResult result;
  switch (outcome) {
    case ExchangeOutcome::kCompleted: {
      const evkeyvalq* headers =
          evhttp_request_get_input_headers(response.get());
      evkeyvalq* out = call->inbound.response_headers();
      load_reports_.Forward(target_, headers, out);
      const TargetResponseKind kind =
          GetResponseKind(call->inbound.request(), response.get());
      if (kind != TargetResponseKind::kResponse) {
        result = MakeRejectedResult(kind);
        break;
      }
      AddHeader(out, kTargetTimeHeader,
                std::chrono::duration_cast<std::chrono::microseconds>(run_time)
                    .count());
      result.outcome = CallOutcome::kDone;
      result.retried = !FindHeader(headers, kRetriedHeader).empty();
      evidence_.Record(call->terms.route,
                       evhttp_request_get_response_code(response.get()) >=
                           kFirstFailureStatus,
                       run_time, now);
      result.response = std::move(response);
      queue_.RecordRunTime(call->terms.route, run_time);
      break;
    }
    case ExchangeOutcome::kNotSent:
      if (context_->on_target_lost) {
        context_->on_target_lost();
      }
      result = CallResult::Refused(CallReason::kUnreachable,
                                   "no connection to the target was made");
      break;
    case ExchangeOutcome::kStaleConnection:
      result = CallResult::Refused(
          CallReason::kUnreachable,
          "the kept connection to the target received unexpected bytes before "
          "the call was sent");
      break;
    case ExchangeOutcome::kTimeout:
      evidence_.Record(call->terms.route, false, run_time, now);
      queue_.RecordRunTime(call->terms.route, run_time);
      result = CallResult::Unknown(CallReason::kDeadline,
                                   "no answer within the deadline");
      break;
    case ExchangeOutcome::kBroken:
      result = CallResult::Unknown(
          CallReason::kUpstreamFailed,
          "the target's connection ended before the whole answer came");
      break;
    case ExchangeOutcome::kMismatched:
      result = CallResult::Unknown(
          CallReason::kUpstreamFailed,
          "the target's response does not belong to the call");
      break;
    case ExchangeOutcome::kTooLarge:
      result = CallResult::Unknown(CallReason::kTooLarge,
                                   "the response exceeds the size limit");
      break;
    case ExchangeOutcome::kOverBudget:
      result = CallResult::Unknown(
          CallReason::kUpstreamFailed,
          "the response exceeds what is left of the memory for responses");
      break;
  }
  Reply(call, result);
  ReleaseSlot(call);
  Remove(call);
}

ResponseVerdict TargetProxy::Validate(const Call& call,
                                      evhttp_request* response) const {
  const ResponseVerdict verdict =
      ToVerdict(GetResponseKind(call.inbound.request(), response));
  if (verdict == ResponseVerdict::kMismatched) {
    const CallHeaderCodec& codec = *context_->header_codec;
    context_->logger->Info(
        "target_response_rejected",
        {{"call", codec.ReadCallerHeaders(call.inbound.headers()).call_id},
         {"service", target_.service},
         {"instance", target_.instance},
         {"status", int64_t{evhttp_request_get_response_code(response)}},
         {"response_call",
          codec.ReadCallerHeaders(evhttp_request_get_input_headers(response))
              .call_id}});
  }
  return verdict;
}

std::optional<uint64_t> TargetProxy::RefusalIdentity(const Call& call) const {
  if (!call.attempt) {
    return std::nullopt;
  }
  const std::string id =
      context_->header_codec->ReadCallerHeaders(call.inbound.headers()).call_id;
  return id.empty() ? std::nullopt : std::optional(Hash64(id));
}

TargetResponseKind TargetProxy::GetResponseKind(
    evhttp_request* request,
    evhttp_request* response) const {
  return context_->header_codec->ClassifyResponse(
      evhttp_request_get_input_headers(request),
      evhttp_request_get_response_code(response),
      evhttp_request_get_input_headers(response));
}

CallResult TargetProxy::MakeRejectedResult(TargetResponseKind kind) {
  CallResult result;
  if (kind == TargetResponseKind::kWrongTarget) {
    if (context_->on_target_lost) {
      context_->on_target_lost();
    }
    result = CallResult::Refused(CallReason::kWrongService,
                                 "another target uses the address");
  } else {
    result = CallResult::Refused(CallReason::kOverloaded,
                                 "the target refused the call");
  }
  result.reached_target = true;
  return result;
}

void TargetProxy::SetTarget(const LocalTarget& target) {
  const bool same_service = target.service == target_.service;
  if (!IsLeaving(target)) {
    target_end_ = TimePoint::max();
  } else if (!IsLeaving(target_)) {
    target_end_ = context_->loop->clock().Now() + leaving_time_ - kSendMargin;
  }
  target_ = target;
  evidence_.SetTarget(target, context_->loop->clock().Now());
  if (!same_service) {
    route_ = nullptr;
    RefuseQueued(CallReason::kWrongService,
                 "the local target serves another service now");
  }
  RefuseBeyondEnd();
  OnRoutes();
}

void TargetProxy::OnRoutes() {
  const auto& routes = context_->router->routes();
  if (routes != nullptr) {
    const auto found = routes->services.find(target_.service);
    route_ = found == routes->services.end() ? nullptr : found->second;
  }
  if (route_ != nullptr) {
    ApplyLimits();
  }
}

void TargetProxy::ApplyLimits() {
  const ServiceRow& row = route_->row;
  const ServiceShare service_share = ServiceShare::Of(*route_, context_->node);
  max_connections_ = row.max_connections;
  int limit = target_.slots > 0 ? target_.slots : row.slots;
  limit = std::min(limit, max_connections_);
  if (row.max_concurrency > 0) {
    limit = std::min(limit, service_share.OfCount(row.max_concurrency));
  }
  queue_.slots().set_limit(std::max(limit, 1));
  rate_.SetRate(service_share.OfRate(row.rate_limit),
                context_->loop->clock().Now());
  RunQueued();
}

void TargetProxy::Reply(Call* call, const CallResult& result) {
  if (result.outcome == CallOutcome::kNotRun) {
    if (call->attempt) {
      context_->attempt_guard->Withdraw(*call->attempt);
    }
    evkeyvalq* headers = call->inbound.response_headers();
    evhttp_add_header(headers, kNotRunHeader, "1");
    if (result.reached_target) {
      evhttp_add_header(headers, kReachedHeader, "1");
    }
    if (result.reason == CallReason::kOverloaded ||
        result.reason == CallReason::kDeadline) {
      AddHeader(headers, kRetryAfterHeader,
                queue_.RetryAfter(call->terms, context_->loop->clock().Now())
                    .count());
    }
  }
  if (result.outcome != CallOutcome::kDone) {
    context_->metrics->CountFailure("target", result.reason);
    context_->logger->Info(
        "target_call_failed",
        {{"call",
          context_->header_codec->ReadCallerHeaders(call->inbound.headers())
              .call_id},
         {"service", target_.service},
         {"instance", target_.instance},
         {"state", std::string(TargetStateName(target_.state))},
         {"outcome", std::string(CallOutcomeName(result.outcome))},
         {"reason", std::string(CallReasonName(result.reason))},
         {"detail", result.detail},
         {"running", int64_t{queue_.slots().in_use()}},
         {"waiting", static_cast<uint64_t>(queue_.size())},
         {"slots", int64_t{queue_.slots().limit()}}});
  }
  if (call->span != nullptr) {
    call->span->End(result.outcome == CallOutcome::kDone
                        ? CallOutcomeName(result.outcome)
                        : CallReasonName(result.reason));
  }
  AddHeader(call->inbound.response_headers(), kOccupancyHeader,
            OccupancyPerMille(*call));
  call->inbound.Reply(result);
}

int64_t TargetProxy::OccupancyPerMille(const Call& ended) const {
  constexpr int64_t kThousand = 1000;
  const SlotLimiter& slots = queue_.slots();
  const int64_t occupied = slots.in_use() +
                           static_cast<int64_t>(queue_.size()) -
                           (ended.has_slot ? 1 : 0);
  return occupied * kThousand / std::max(slots.limit(), 1);
}

void TargetProxy::OnPeerDisconnected(Call* call) {
  if (queue_.Remove(call)) {
    context_->metrics->queue_length()->Set(static_cast<int64_t>(queue_.size()));
    ArmQueueTimer();
  }
  if (call->span != nullptr) {
    call->span->End(CallReasonName(CallReason::kCallerDisconnected));
  }
  context_->metrics->CountFailure("target", CallReason::kCallerDisconnected);
  if (call->attempt && call->exchange != nullptr) {
    // A running one-time call is not cancelled; its response is discarded.
    return;
  }
  // Closing the connection to the target signals it to cancel the call.
  call->exchange.reset();
  ReleaseSlot(call);
  Remove(call);
}

void TargetProxy::Remove(Call* call) {
  const auto found = calls_.find(call);
  context_->deleter->Add(std::shared_ptr<void>(std::move(found->second)));
  calls_.erase(found);
  context_->metrics->target_calls()->Set(static_cast<int64_t>(calls_.size()));
  on_call_ended_();
}

}  // namespace dragonflytack
