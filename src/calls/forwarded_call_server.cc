#include "calls/forwarded_call_server.h"

#include <string_view>
#include <utility>

#include <event2/http.h>

#include "calls/call_request.h"
#include "calls/deferred_deleter.h"
#include "calls/http_headers.h"
#include "calls/inbound_call.h"
#include "calls/one_time_dispatcher.h"
#include "dragonflytack/base/event_loop.h"
#include "dragonflytack/observe/tracer.h"
#include "routing/router.h"

namespace dragonflytack {

class ForwardedCallServer::Forwarded final {
 public:
  Forwarded(ForwardedCallServer* side, evhttp_request* request)
      : inbound(request, side->context_->header_codec, [this, side] {
          side->calls_->Forget(ticket);
          side->Remove(this);
        }) {}

  InboundCall inbound;
  OneTimeDispatcher::Ticket ticket = 0;
};

ForwardedCallServer::ForwardedCallServer(const CallContext* context,
                                         OneTimeDispatcher* calls,
                                         std::string secret,
                                         std::function<void()> on_call_ended)
    : context_(context),
      calls_(calls),
      secret_(std::move(secret)),
      on_call_ended_(std::move(on_call_ended)) {}

ForwardedCallServer::~ForwardedCallServer() {
  for (auto& [pointer, call] : forwarded_) {
    calls_->Forget(call->ticket);
    call->inbound.Reply(
        CallResult::Unknown(CallReason::kStopping, "the home stops"));
  }
}

void ForwardedCallServer::OnRequest(evhttp_request* request) {
  auto owned = std::make_unique<Forwarded>(this, request);
  Forwarded* call = owned.get();
  forwarded_.emplace(call, std::move(owned));
  if (const std::optional<CallResult> result = Handle(call)) {
    Reply(call, *result);
  }
}

std::optional<CallResult> ForwardedCallServer::Handle(Forwarded* call) {
  const evkeyvalq* headers = call->inbound.headers();
  Failure reason;
  const auto key = OneTimeKey::Parse(FindHeader(headers, kOneTimeKeyHeader),
                                     secret_, &reason);
  if (!key) {
    // The entry had accepted it, so the nodes have different shared keys.
    return CallResult::Unknown(CallReason::kKeyNotAuthentic, reason.detail);
  }
  const std::string service(FindHeader(headers, kServiceHeader));
  std::shared_ptr<ServicePool> pool;
  if (context_->router->routes() != nullptr) {
    pool = context_->router->Find(service);
  }
  if (!calls_->HasRecordsOf(*key)) {
    return CallResult::Unknown(CallReason::kOwnerGone,
                               "this process does not have the key's records");
  }
  if (pool == nullptr) {
    // There may be a record from before the row was removed.
    return CallResult::Unknown(CallReason::kNoService,
                               "the home's table has no such service");
  }
  CallRequest request;
  request.route = pool->route();
  request.pool = std::move(pool);
  request.http = call->inbound.request();
  request.uri = evhttp_request_get_uri(request.http);
  request.start = context_->loop->clock().Now();
  request.deadline =
      request.start +
      Milliseconds(FindNumber(headers, kDeadlineHeader)
                       .value_or(request.route->row.deadline_ms));
  request.trace = context_->tracer->Accept(FindHeader(headers, kTraceHeader));
  return calls_->Handle(
      *key, request,
      [this, call](CallResult result) {
        call->ticket = 0;
        Reply(call, result);
      },
      &call->ticket);
}

void ForwardedCallServer::Reply(Forwarded* call, const CallResult& result) {
  call->inbound.Reply(result);
  Remove(call);
}

void ForwardedCallServer::Remove(Forwarded* call) {
  const auto found = forwarded_.find(call);
  context_->deleter->Add(std::shared_ptr<void>(std::move(found->second)));
  forwarded_.erase(found);
  on_call_ended_();
}

}  // namespace dragonflytack
