#ifndef DRAGONFLYTACK_SRC_CALLS_TARGET_PROXY_CALL_H_
#define DRAGONFLYTACK_SRC_CALLS_TARGET_PROXY_CALL_H_

#include <memory>
#include <optional>
#include <string_view>

#include <event2/http.h>

#include "calls/admission_queue.h"
#include "calls/call_context.h"
#include "calls/call_span.h"
#include "calls/exchange.h"
#include "calls/http_headers.h"
#include "calls/inbound_call.h"
#include "calls/target_proxy.h"
#include "dragonflytack/base/clock.h"
#include "dragonflytack/observe/trace_context.h"
#include "onetime/attempt_id.h"

namespace dragonflytack {

// A call that a node sent to the target, from its arrival to its response.
class TargetProxy::Call final {
 public:
  Call(TargetProxy* proxy, evhttp_request* request)
      : inbound(
            request,
            proxy->context_->header_codec,
            [this, proxy] { proxy->OnPeerDisconnected(this); },
            proxy->context_->response_writes) {
    const std::string_view id = FindHeader(inbound.headers(), kAttemptIdHeader);
    if (!id.empty()) {
      evhttp_add_header(inbound.response_headers(), kAttemptIdHeader,
                        id.data());
    }
  }

  InboundCall inbound;
  AdmissionQueue<Call>::Terms terms;
  TraceContext trace;
  // The span "queue" while the call waits, "target" while it runs.
  std::unique_ptr<CallSpan> span;
  bool has_slot = false;
  StallDetector::RunId run = 0;
  // Whether the target sent a response, to this call or another one.
  bool has_response = false;
  // Set if the guard admitted the attempt of a one-time call.
  std::optional<AttemptId> attempt;
  TimePoint sent_at;
  std::unique_ptr<Exchange> exchange;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_CALLS_TARGET_PROXY_CALL_H_
