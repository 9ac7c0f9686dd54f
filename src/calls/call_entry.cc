#include "calls/call_entry.h"

#include <algorithm>
#include <cassert>
#include <string>
#include <string_view>
#include <utility>

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/util.h>
#include <fmt/format.h>

#include "calls/allowance_exchange.h"
#include "calls/call_addressing.h"
#include "calls/call_metrics.h"
#include "calls/call_span.h"
#include "calls/deferred_deleter.h"
#include "calls/entry_call.h"
#include "calls/entry_pipeline.h"
#include "calls/http_headers.h"
#include "calls/inbound_call.h"
#include "calls/keyed_call.h"
#include "calls/one_time.h"
#include "calls/response_writes.h"
#include "calls/routed_call.h"
#include "dragonflytack/accounts/account_index.h"
#include "dragonflytack/accounts/call_rank.h"
#include "dragonflytack/base/event_loop.h"
#include "dragonflytack/base/logger.h"
#include "dragonflytack/calls/call_header_codec.h"
#include "dragonflytack/observe/tracer.h"
#include "routing/router.h"

namespace dragonflytack {

namespace {

// Retry-after time of refusals that specify none: roughly the time in which a
// change in the fleet reaches all nodes.
constexpr Milliseconds kDefaultRetryAfter{100};

// Returns whether bytes of the request could be taken for the next one: two
// HTTP parsers could derive different body lengths from the headers (RFC 9112
// section 6.3), or evhttp has not read the body that they announce. It reads
// none for HEAD, none for an unknown transfer coding, and takes a space before
// the colon for a part of the name.
bool HasAmbiguousLength(evhttp_request* request) {
  const evkeyvalq* headers = evhttp_request_get_input_headers(request);
  int lengths = 0;
  int encodings = 0;
  for (const evkeyval* item = headers->tqh_first; item != nullptr;
       item = item->next.tqe_next) {
    if (std::string_view(item->key).find_first_of(" \t") !=
        std::string_view::npos) {
      return true;
    }
    lengths += evutil_ascii_strcasecmp(item->key, "Content-Length") == 0;
    encodings += evutil_ascii_strcasecmp(item->key, "Transfer-Encoding") == 0;
  }
  if (lengths + encodings > 1) {
    return true;
  }
  if (encodings > 0) {
    const std::string_view codings = FindHeader(headers, "Transfer-Encoding");
    return evhttp_request_get_command(request) == EVHTTP_REQ_HEAD ||
           codings.find(',') != std::string_view::npos ||
           !ListContains(codings, "chunked");
  }
  const size_t size =
      evbuffer_get_length(evhttp_request_get_input_buffer(request));
  const std::optional<int64_t> length = FindNumber(headers, "Content-Length");
  return lengths > 0 && (!length || static_cast<size_t>(*length) != size);
}

int64_t ToMillis(TimePoint::duration time) {
  return std::chrono::duration_cast<Milliseconds>(time).count();
}

}  // namespace

CallEntry::Call::Call(CallEntry* entry, evhttp_request* request)
    : memory(nullptr) {
  Deliver(entry, request);
}

CallEntry::Call::Call(CallEntry* entry, HttpRequestPtr request)
    : copy(std::move(request)), memory(entry->context_->budget) {}

void CallEntry::Call::Deliver(CallEntry* entry, evhttp_request* request) {
  connection = evhttp_request_get_connection(request);
  inbound = std::make_unique<InboundCall>(
      request, entry->context_->header_codec,
      [this, entry] { entry->OnCallerDisconnected(this); },
      entry->context_->response_writes);
}

CallEntry::CallEntry(const CallContext* context,
                     OneTime* one_time,
                     std::function<void()> on_call_ended)
    : context_(context),
      one_time_(one_time),
      on_call_ended_(std::move(on_call_ended)) {
  if (context_->max_pipelined > 1) {
    context_->response_writes->set_on_closed(
        [this](evhttp_connection* connection) {
          EndPipeline(connection, PipelineEvent::kAbandoned);
        });
  }
}

CallEntry::~CallEntry() {
  if (context_->max_pipelined > 1) {
    context_->response_writes->set_on_closed(nullptr);
  }
  while (!pipelines_.empty()) {
    EndPipeline(pipelines_.begin()->first, PipelineEvent::kAbandoned);
  }
  assert(calls_.empty());
}

void CallEntry::CutOff() {
  RefuseNewCalls();
  starts_none_early_ = true;
  is_cut_off_ = true;
  const auto cut_off = [](const Call& call) {
    return call.maybe_dispatched()
               ? CallResult::Unknown(CallReason::kStopping,
                                     "the node is stopping")
               : CallResult::Refused(CallReason::kStopping,
                                     "the node is stopping");
  };
  for (const auto& [connection, pipeline] : pipelines_) {
    for (Call* const call : pipeline->early) {
      if (!call->result) {
        CancelAllowance(call);
        CallResult result = cut_off(*call);
        ReportEnd(*call, result);
        call->routed.reset();
        Keep(call, std::move(result));
      }
    }
  }
  while (calls_.size() > early_calls_) {
    Call* const call =
        std::find_if(calls_.begin(), calls_.end(), [](const auto& item) {
          return item.second->inbound != nullptr;
        })->first;
    CallResult result = cut_off(*call);
    if (call->keyed != nullptr && result.outcome == CallOutcome::kNotRun) {
      // The key is still valid at its owner.
      result.scope = NotRunScope::kRequest;
    }
    ReportEnd(*call, result);
    // The call is deleted later; nothing may end it a second time until then.
    call->routed.reset();
    call->keyed.reset();
    SendResponse(call, result);
    Remove(call);
  }
}

void CallEntry::OnRequest(evhttp_request* request) {
  if (context_->has_one_time_keys &&
      evhttp_request_get_uri(request) == std::string_view(kKeysPath) &&
      !HasAmbiguousLength(request)) {
    one_time_->OnKeyRequest(request);
    return;
  }
  if (context_->max_pipelined > 1 && DeliverEarly(request)) {
    return;
  }
  auto owned = std::make_unique<Call>(this, request);
  Call* call = owned.get();
  calls_.emplace(call, std::move(owned));
  context_->metrics->entry_calls()->Set(static_cast<int64_t>(calls_.size()));
  if (std::optional<CallResult> refusal = Prepare(request, call)) {
    context_->metrics->CountFailure("entry", refusal->reason);
    const auto& routes = context_->router->routes();
    context_->logger->Info(
        "call_refused",
        {{"call",
          context_->header_codec->ReadCallerHeaders(call->inbound->headers())
              .call_id},
         {"host", std::string(FindHeader(call->inbound->headers(), "Host"))},
         {"path", std::string(evhttp_request_get_uri(request))},
         {"reason", std::string(CallReasonName(refusal->reason))},
         {"detail", refusal->detail},
         {"table", uint64_t{routes == nullptr ? 0 : routes->version}},
         {"newest_table",
          uint64_t{routes == nullptr ? 0 : routes->newest_version}}});
    if (!KeyOf(call->inbound->headers()).empty()) {
      // The records of the key were not checked, so the refusal holds for this
      // request only.
      refusal->scope = NotRunScope::kRequest;
    }
    if (refusal->reason == CallReason::kBadRequest) {
      // The following bytes on the connection may belong to this request.
      evhttp_add_header(call->inbound->response_headers(), "Connection",
                        "close");
    }
    SendResponse(call, *refusal);
    Remove(call);
    return;
  }
  const bool may_begin_pipeline =
      context_->max_pipelined > 1 && !starts_none_early_ &&
      call->routed != nullptr &&
      call->request().policy.kind == ServiceKind::kIdempotent;
  Admit(call);
  if (may_begin_pipeline && calls_.contains(call)) {
    BeginPipeline(call);
  }
}

void CallEntry::Admit(Call* call) {
  const CallRequest& request = call->request();
  if (context_->allowances == nullptr || request.allowance.rate == 0) {
    OnAllowance(call, {});
    return;
  }
  const AllowanceGate::Answer answer = context_->allowances->Ask(
      request.account, request.allowance, &call->allowance_ticket,
      [this, call](const AllowanceGate::Answer& later) {
        call->allowance_ticket = 0;
        OnAllowance(call, later);
      });
  if (answer.decision != AllowanceGate::Decision::kWaits) {
    OnAllowance(call, answer);
  }
}

void CallEntry::OnAllowance(Call* call, const AllowanceGate::Answer& answer) {
  if (answer.decision == AllowanceGate::Decision::kRefused) {
    CallResult refusal =
        CallResult::Refused(CallReason::kAllowanceExceeded,
                            "the account has exceeded its allowance");
    refusal.retry_after = answer.retry_after;
    if (call->keyed != nullptr) {
      // The records of the key were not checked.
      refusal.scope = NotRunScope::kRequest;
    }
    OnResult(call, std::move(refusal));
  } else if (call->keyed != nullptr) {
    call->keyed->Start();
  } else {
    call->routed->Start();
  }
}

std::string_view CallEntry::KeyOf(const evkeyvalq* headers) const {
  return context_->has_one_time_keys ? FindHeader(headers, kKeyHeader)
                                     : std::string_view();
}

std::optional<CallResult> CallEntry::Route(evhttp_request* request,
                                           CallRequest* routed) {
  const auto& routes = context_->router->routes();
  if (routes == nullptr || routes->version == 0) {
    return CallResult::Refused(CallReason::kNoTarget,
                               "no table is in force yet");
  }
  return context_->addressing->Resolve(context_->router, request, routed);
}

std::optional<CallResult> CallEntry::IdentifyAccount(
    std::string_view api_key,
    CallRequest* routed) const {
  const RouteSnapshot& routes = *context_->router->routes();
  if (routes.accounts == nullptr) {
    return std::nullopt;
  }
  routed->uses_accounts = true;
  // Calls on public routes have the account rank 0: most are made by targets
  // that already run a call, whose work would be lost with them.
  int account_rank = 0;
  if (!routed->policy.is_public) {
    const std::optional<KeyDigest> key = KeyDigest::OfKey(api_key);
    const AccountRow* const account =
        key ? routes.accounts->Find(*key) : nullptr;
    if (account == nullptr) {
      // Callers do not repeat a call after 401, and a newer version may have
      // the key.
      return CallResult::Refused(
          routes.IsOutdated() ? CallReason::kTableOutdated
                              : CallReason::kUnknownKey,
          key ? fmt::format("no account holds the key {}", key->ToText())
              : "the call has no valid API key");
    }
    routed->account = account->account;
    routed->allowance = {routes.version, account->rate_limit, account->burst};
    account_rank = account->rank;
  }
  routed->policy.rank = CallRank(account_rank, routed->policy.rank);
  return std::nullopt;
}

std::optional<CallResult> CallEntry::Prepare(evhttp_request* request,
                                             Call* call) {
  const evkeyvalq* headers = evhttp_request_get_input_headers(request);
  if (refusing_) {
    return CallResult::Refused(CallReason::kStopping, "the node is stopping");
  }
  if (evbuffer_get_length(evhttp_request_get_input_buffer(request)) >
      kMaxBodyBytes) {
    return CallResult::Refused(CallReason::kTooLarge,
                               "the request body exceeds the size limit");
  }
  if (HasAmbiguousLength(request)) {
    return CallResult::Refused(CallReason::kBadRequest,
                               "the length of the request body is ambiguous");
  }
  CallRequest routed;
  if (std::optional<CallResult> refusal = Route(request, &routed)) {
    return refusal;
  }
  CallerRequestInfo info = context_->header_codec->ReadCallerHeaders(headers);
  if (std::optional<CallResult> refusal =
          IdentifyAccount(info.api_key, &routed)) {
    return refusal;
  }
  if (call->inbound == nullptr &&
      routed.policy.kind != ServiceKind::kIdempotent) {
    return CallResult::Refused(CallReason::kOverloaded,
                               "the call must not be started early");
  }
  if (info.malformed) {
    return CallResult::Refused(CallReason::kBadRequest,
                               "the deadline is not a whole number");
  }
  const Milliseconds limit = info.time_left.value_or(routed.policy.time_limit);
  routed.route = routed.pool->route();
  routed.http = request;
  routed.call_id = std::move(info.call_id);
  routed.caller_service = context_->service;
  routed.start = context_->loop->clock().Now();
  routed.first_attempt = routed.start;
  if (info.time_left && !routed.policy.route.empty()) {
    routed.first_attempt -= attempt_age_.Observe(routed.policy.route,
                                                 *info.time_left, routed.start);
  }
  routed.deadline = routed.start + std::min(limit, routed.max_time_limit);
  if (latest_deadline_ && routed.deadline > *latest_deadline_) {
    return CallResult::Refused(
        CallReason::kStopping,
        "the node may stop before the deadline of the call");
  }
  const TraceContext trace =
      context_->tracer->Accept(FindHeader(headers, kTraceHeader));
  call->span = std::make_unique<CallSpan>(context_, trace, "entry",
                                          routed.route->row.service);
  routed.trace = call->span->context();
  const auto on_result = [this, call](CallResult result) {
    OnResult(call, std::move(result));
  };
  const std::string key(KeyOf(headers));
  if (!key.empty() && routed.policy.kind == ServiceKind::kOneTime) {
    call->keyed = std::make_unique<KeyedCall>(
        context_, one_time_, std::move(routed), key, on_result);
  } else {
    call->routed =
        std::make_unique<RoutedCall>(context_, std::move(routed), on_result);
  }
  return std::nullopt;
}

void CallEntry::OnResult(Call* call, CallResult result) {
  if (result.outcome == CallOutcome::kNotRun) {
    attempt_age_.OnRefused(call->request().policy.route,
                           call->request().deadline);
  }
  ReportEnd(*call, result);
  if (call->inbound == nullptr) {
    Keep(call, std::move(result));
    return;
  }
  SendResponse(call, result);
  Remove(call);
}

void CallEntry::ReportEnd(const Call& call, const CallResult& result) const {
  const CallRequest& request = call.request();
  CallMetrics::Service& metrics =
      context_->metrics->ForService(request.route->row.service);
  const auto total_time = context_->loop->clock().Now() - request.start;
  metrics.by_outcome[static_cast<size_t>(result.outcome)]->Add();
  metrics.total_time->Record(total_time);
  if (result.outcome == CallOutcome::kDone) {
    if (call.routed != nullptr) {
      metrics.added_time->Record(std::max<std::chrono::nanoseconds>(
          total_time - call.routed->target_time(),
          std::chrono::nanoseconds(0)));
    }
    call.span->End(CallOutcomeName(result.outcome));
  } else {
    context_->metrics->CountFailure("entry", result.reason);
    LogFailure(request, result);
    if (result.outcome == CallOutcome::kUnknown &&
        request.policy.kind == ServiceKind::kOneTime) {
      // The key is not logged, because its possession gives access to the
      // recorded response.
      context_->logger->Warning(
          "one_time_unknown",
          {{"service", request.route->row.service},
           {"call", request.call_id},
           {"cause", std::string(CallReasonName(result.reason))},
           {"keyed", call.keyed != nullptr},
           {"detail", result.detail}});
    }
    call.span->End(CallReasonName(result.reason));
  }
}

void CallEntry::LogFailure(const CallRequest& request,
                           const CallResult& result) const {
  const auto& clock = context_->loop->clock();
  context_->logger->Info(
      "call_failed",
      {{"call", request.call_id},
       {"service", request.route->row.service},
       {"outcome", std::string(CallOutcomeName(result.outcome))},
       {"reason", std::string(CallReasonName(result.reason))},
       {"detail", result.detail},
       {"after_ms", ToMillis(clock.Now() - request.start)},
       {"deadline_ms", ToMillis(request.deadline - request.start)},
       {"endpoints", static_cast<uint64_t>(request.pool->size())},
       {"table", uint64_t{context_->router->routes()->version}}});
}

void CallEntry::SendResponse(Call* call, const CallResult& result) {
  const int status = result.Status();
  constexpr int kTooManyRequests = 429;
  constexpr int kServiceUnavailable = 503;
  if (result.outcome == CallOutcome::kNotRun &&
      (status == kTooManyRequests || status == kServiceUnavailable)) {
    context_->header_codec->WriteRetryAfter(
        result.retry_after.value_or(kDefaultRetryAfter),
        call->inbound->response_headers());
  }
  call->inbound->Reply(result);
}

void CallEntry::OnCallerDisconnected(Call* call) {
  context_->metrics->CountFailure("entry", CallReason::kCallerDisconnected);
  const CallRequest& request = call->request();
  const TimePoint now = context_->loop->clock().Now();
  context_->logger->Info(
      "caller_disconnected",
      {{"call", request.call_id},
       {"service", request.route->row.service},
       {"cause", call->inbound->closed_by_peer() ? "closed by the caller"
                                                 : "closed by this node"},
       {"dispatched", call->maybe_dispatched()},
       {"after_ms", ToMillis(now - request.start)},
       {"deadline_ms", ToMillis(request.deadline - request.start)}});
  if (call->span != nullptr) {
    call->span->End(CallReasonName(CallReason::kCallerDisconnected));
  }
  // Cancels the call downstream immediately; the other members are deleted
  // later.
  call->routed.reset();
  call->keyed.reset();
  EndPipeline(call->connection, PipelineEvent::kAbandoned);
  Remove(call);
}

void CallEntry::CancelAllowance(Call* call) {
  if (call->allowance_ticket != 0) {
    context_->allowances->Cancel(std::exchange(call->allowance_ticket, 0));
  }
}

void CallEntry::Remove(Call* call) {
  CancelAllowance(call);
  if (Pipeline* const pipeline = std::exchange(call->pipeline, nullptr)) {
    pipeline->current = nullptr;
    if (pipeline->early.empty()) {
      pipelines_.erase(call->connection);
    }
  }
  const auto found = calls_.find(call);
  context_->deleter->Add(std::shared_ptr<void>(std::move(found->second)));
  calls_.erase(found);
  context_->metrics->entry_calls()->Set(static_cast<int64_t>(calls_.size()));
  on_call_ended_();
}

}  // namespace dragonflytack
