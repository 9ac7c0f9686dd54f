#include "calls/forwarded_call_server.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include <event2/http.h>

#include "calls/call_request.h"
#include "calls/deferred_deleter.h"
#include "calls/http_headers.h"
#include "calls/inbound_call.h"
#include "calls/one_time_dispatcher.h"
#include "dragonflytack/accounts/call_rank.h"
#include "dragonflytack/base/event_loop.h"
#include "dragonflytack/observe/tracer.h"
#include "routing/router.h"

namespace dragonflytack {

class ForwardedCallServer::ForwardedCall final {
 public:
  ForwardedCall(ForwardedCallServer* server, evhttp_request* request)
      : inbound(
            request,
            server->context_->header_codec,
            [this, server] {
              server->dispatcher_->RemoveWaiter(waiter_id);
              server->Remove(this);
            },
            server->context_->response_writes) {
    evhttp_add_header(inbound.response_headers(), kOneTimeKeyHeader,
                      FindHeader(inbound.headers(), kOneTimeKeyHeader).data());
  }

  InboundCall inbound;
  OneTimeDispatcher::WaiterId waiter_id = 0;
};

ForwardedCallServer::ForwardedCallServer(const CallContext* context,
                                         OneTimeDispatcher* dispatcher,
                                         std::string shared_key,
                                         std::function<void()> on_call_ended)
    : context_(context),
      dispatcher_(dispatcher),
      shared_key_(std::move(shared_key)),
      on_call_ended_(std::move(on_call_ended)) {}

ForwardedCallServer::~ForwardedCallServer() {
  for (auto& [pointer, call] : forwarded_calls_) {
    dispatcher_->RemoveWaiter(call->waiter_id);
    call->inbound.Reply(CallResult::Unknown(
        CallReason::kStopping, "the owner of the key is stopping"));
  }
}

void ForwardedCallServer::OnRequest(evhttp_request* request) {
  auto owned = std::make_unique<ForwardedCall>(this, request);
  ForwardedCall* call = owned.get();
  forwarded_calls_.emplace(call, std::move(owned));
  if (const std::optional<CallResult> result = Handle(call)) {
    Reply(call, *result);
  }
}

std::optional<CallResult> ForwardedCallServer::Handle(ForwardedCall* call) {
  const evkeyvalq* headers = call->inbound.headers();
  Failure reason;
  const auto key = OneTimeKey::Parse(FindHeader(headers, kOneTimeKeyHeader),
                                     shared_key_, &reason);
  if (!key) {
    // The entry node accepted the key, so the nodes have different shared keys.
    return CallResult::Unknown(CallReason::kKeyNotAuthentic, reason.detail);
  }
  const std::string service(FindHeader(headers, kServiceHeader));
  std::shared_ptr<ServicePool> pool;
  if (context_->router->routes() != nullptr) {
    pool = context_->router->Find(service);
  }
  if (!dispatcher_->HasRecordsOf(*key)) {
    return CallResult::Unknown(
        CallReason::kOwnerGone,
        "this process does not hold the records of the key's owner");
  }
  if (pool == nullptr) {
    // A record from before the removal of the row may exist, so the call is
    // not reported as not run.
    return CallResult::Unknown(
        CallReason::kNoService,
        "the table of the key's owner has no such service");
  }
  CallRequest request;
  request.route = pool->route();
  request.pool = std::move(pool);
  request.account = FindHeader(headers, kAccountHeader);
  request.policy.rank = static_cast<int>(std::clamp<int64_t>(
      FindNumber(headers, kRankHeader).value_or(0), 0, kMaxCallRank));
  request.http = call->inbound.request();
  request.uri = evhttp_request_get_uri(request.http);
  request.start = context_->loop->clock().Now();
  request.first_attempt = request.start;
  request.deadline =
      request.start +
      Milliseconds(FindNumber(headers, kDeadlineHeader)
                       .value_or(request.route->row.deadline_ms));
  request.trace = context_->tracer->Accept(FindHeader(headers, kTraceHeader));
  return dispatcher_->Handle(
      *key, request,
      [this, call](CallResult result) {
        call->waiter_id = 0;
        Reply(call, result);
      },
      &call->waiter_id);
}

void ForwardedCallServer::Reply(ForwardedCall* call, const CallResult& result) {
  call->inbound.Reply(result);
  Remove(call);
}

void ForwardedCallServer::Remove(ForwardedCall* call) {
  const auto found = forwarded_calls_.find(call);
  context_->deleter->Add(std::shared_ptr<void>(std::move(found->second)));
  forwarded_calls_.erase(found);
  on_call_ended_();
}

}  // namespace dragonflytack
