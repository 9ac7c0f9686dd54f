#include "calls/one_time_dispatcher.h"

#include <sys/queue.h>
#include <string>
#include <utility>

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include "calls/deferred_deleter.h"
#include "calls/http_headers.h"
#include "calls/owned_request.h"
#include "calls/routed_call.h"
#include "dragonflytack/base/event_loop.h"
#include "dragonflytack/base/hash.h"
#include "onetime/recorded_response.h"

namespace dragonflytack {

namespace {

std::string ReadBody(evhttp_request* http) {
  evbuffer* buffer = evhttp_request_get_input_buffer(http);
  std::string body(evbuffer_get_length(buffer), '\0');
  evbuffer_copyout(buffer, body.data(), body.size());
  return body;
}

uint64_t Digest(const CallRequest& request) {
  std::string text = request.route->row.service;
  text += '\n';
  text += std::to_string(evhttp_request_get_command(request.http));
  text += '\n';
  text += request.uri;
  text += '\n';
  return Hash64(ReadBody(request.http), Hash64(text));
}

std::shared_ptr<const RecordedResponse> MakeRecorded(
    const CallHeaderCodec& header_codec,
    evhttp_request* response) {
  RecordedResponse recorded;
  recorded.status = evhttp_request_get_response_code(response);
  evkeyvalq headers;
  TAILQ_INIT(&headers);
  CopyEndToEndHeaders(header_codec, evhttp_request_get_input_headers(response),
                      &headers);
  for (const evkeyval* item = headers.tqh_first; item != nullptr;
       item = item->next.tqe_next) {
    recorded.headers.emplace_back(item->key, item->value);
  }
  evhttp_clear_headers(&headers);
  recorded.body = ReadBody(response);
  return std::make_shared<const RecordedResponse>(std::move(recorded));
}

CallResult MakeResult(const BeginDecision& decision) {
  CallResult result;
  result.reason = ParseCallReason(BeginReasonName(decision.reason));
  result.detail = "from the record of the key";
  switch (decision.kind) {
    case BeginDecision::Kind::kDone:
      result.outcome = CallOutcome::kDone;
      result.recorded = decision.response;
      break;
    case BeginDecision::Kind::kNotRun:
      result.outcome = CallOutcome::kNotRun;
      result.scope = decision.scope;
      break;
    case BeginDecision::Kind::kForward:
      // The outcome stays kUnknown for a receiver that does not follow
      // moved_to.
      result.moved_to = decision.forward_to;
      result.reason = CallReason::kDraining;
      break;
    case BeginDecision::Kind::kDispatch:
    case BeginDecision::Kind::kWait:
    case BeginDecision::Kind::kUnknown:
      break;
  }
  return result;
}

}  // namespace

struct OneTimeDispatcher::Dispatch {
  OneTimeKey key;
  uint32_t attempt = 0;
  HttpRequestPtr http;
  // Declared after `http`, so that it is destroyed before the request that it
  // reads.
  std::unique_ptr<RoutedCall> call;
  std::map<WaiterId, Callback> waiters;
};

OneTimeDispatcher::OneTimeDispatcher(const CallContext* context,
                                     OneTimeRecords* records,
                                     std::function<void()> on_call_ended)
    : context_(context),
      records_(records),
      on_call_ended_(std::move(on_call_ended)) {}

OneTimeDispatcher::~OneTimeDispatcher() = default;

std::optional<CallResult> OneTimeDispatcher::Handle(const OneTimeKey& key,
                                                    const CallRequest& request,
                                                    Callback callback,
                                                    WaiterId* waiter_id) {
  const BeginDecision decision =
      records_->Begin(key, Digest(request), context_->loop->clock().Now());
  if (decision.kind != BeginDecision::Kind::kDispatch &&
      decision.kind != BeginDecision::Kind::kWait) {
    return MakeResult(decision);
  }
  const RecordId id = RecordId::FromDigits(key.id);
  std::unique_ptr<Dispatch>& dispatch = dispatches_[id];
  *waiter_id = ++last_waiter_id_;
  waiters_.emplace(*waiter_id, id);
  if (dispatch != nullptr) {
    dispatch->waiters.emplace(*waiter_id, std::move(callback));
    return std::nullopt;
  }
  dispatch = std::make_unique<Dispatch>();
  dispatch->waiters.emplace(*waiter_id, std::move(callback));
  dispatch->key = key;
  dispatch->attempt = decision.attempt;
  dispatch->http = CopyRequest(request.http, context_->deleter);
  CallRequest copy = request;
  copy.http = dispatch->http.get();
  if (copy.route->row.kind != ServiceKind::kOneTime) {
    // The table of the entry node has the service as one-time. A call that may
    // have run must not be retried, whichever table is newer.
    auto route = std::make_shared<ServiceRoute>(*copy.route);
    route->row.kind = ServiceKind::kOneTime;
    copy.route = std::move(route);
  }
  dispatch->call = std::make_unique<RoutedCall>(
      context_, std::move(copy),
      [this, pointer = dispatch.get()](CallResult result) {
        OnResult(pointer, std::move(result));
      });
  dispatch->call->Start();
  return std::nullopt;
}

void OneTimeDispatcher::OnResult(Dispatch* dispatch, CallResult result) {
  const TimePoint now = context_->loop->clock().Now();
  bool recorded = false;
  std::shared_ptr<const RecordedResponse> response;
  switch (result.outcome) {
    case CallOutcome::kDone:
      response = MakeRecorded(*context_->header_codec, result.response.get());
      recorded =
          records_->FinishDone(dispatch->key, dispatch->attempt, response, now);
      break;
    case CallOutcome::kNotRun:
      recorded = records_->FinishNotRun(dispatch->key, dispatch->attempt, now);
      break;
    case CallOutcome::kUnknown:
      recorded = records_->FinishUnknown(dispatch->key, dispatch->attempt, now);
      break;
  }
  Complete(dispatch, [this, dispatch, &result, &response, recorded] {
    if (!recorded) {
      return MakeResult(records_->RecordedDecision(dispatch->key));
    }
    CallResult waiter_result;
    waiter_result.outcome = result.outcome;
    waiter_result.reason = result.reason;
    waiter_result.detail = result.detail;
    waiter_result.retried = result.retried;
    waiter_result.recorded = response;
    if (result.outcome == CallOutcome::kNotRun) {
      waiter_result.scope = NotRunScope::kKey;
    }
    return waiter_result;
  });
}

void OneTimeDispatcher::Complete(Dispatch* dispatch,
                                 const std::function<CallResult()>& result) {
  const auto found = dispatches_.find(RecordId::FromDigits(dispatch->key.id));
  const std::shared_ptr<Dispatch> owned = std::move(found->second);
  dispatches_.erase(found);
  for (const auto& [waiter_id, callback] : owned->waiters) {
    waiters_.erase(waiter_id);
  }
  for (const auto& [waiter_id, callback] : std::exchange(owned->waiters, {})) {
    callback(result());
  }
  context_->deleter->Add(owned);
  on_call_ended_();
}

void OneTimeDispatcher::RemoveWaiter(WaiterId waiter_id) {
  const auto found = waiters_.find(waiter_id);
  if (found != waiters_.end()) {
    dispatches_.at(found->second)->waiters.erase(waiter_id);
    waiters_.erase(found);
  }
}

void OneTimeDispatcher::EndAllAsUnknown() {
  while (!dispatches_.empty()) {
    Dispatch* const dispatch = dispatches_.begin()->second.get();
    dispatch->call.reset();
    OnResult(dispatch, CallResult::Unknown(CallReason::kStopping,
                                           "the owner of the key is stopping"));
  }
}

}  // namespace dragonflytack
