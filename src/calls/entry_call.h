#ifndef DRAGONFLYTACK_SRC_CALLS_ENTRY_CALL_H_
#define DRAGONFLYTACK_SRC_CALLS_ENTRY_CALL_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>

#include "base/buffer_budget.h"
#include "calls/call_entry.h"
#include "calls/call_result.h"
#include "calls/call_span.h"
#include "calls/inbound_call.h"
#include "calls/keyed_call.h"
#include "calls/routed_call.h"

namespace dragonflytack {

// A call of the call port.
class CallEntry::Call final {
 public:
  // A call whose request evhttp has delivered.
  Call(CallEntry* entry, evhttp_request* request);
  // A call that is started before that, with a copy of its request.
  Call(CallEntry* entry, HttpRequestPtr request);
  Call(const Call&) = delete;
  Call& operator=(const Call&) = delete;

  // Must be called when evhttp delivers the request of an early call.
  void Deliver(CallEntry* entry, evhttp_request* request);

  const CallRequest& request() const {
    return keyed != nullptr ? keyed->request() : routed->request();
  }
  // Whether a target may have received the call.
  bool maybe_dispatched() const {
    return keyed != nullptr ? keyed->maybe_forwarded()
                            : routed->maybe_dispatched();
  }

  // The request of an early call; outlives `routed`, which reads it.
  HttpRequestPtr copy;
  // Null until the request is delivered.
  std::unique_ptr<InboundCall> inbound;
  evhttp_connection* connection = nullptr;
  // The connection's pipeline while this is its current call.
  Pipeline* pipeline = nullptr;
  // The result of an early call until its request is delivered.
  std::optional<CallResult> result;
  // The memory of the request of an early call, and of its result.
  BufferBudget::Share memory;
  std::unique_ptr<CallSpan> span;
  // Destroyed before the request that it reads.
  std::unique_ptr<RoutedCall> routed;
  // Set while the call waits for the allowance of its account.
  uint64_t allowance_ticket = 0;
  // Set instead of `routed` for a one-time call with a key.
  std::unique_ptr<KeyedCall> keyed;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_CALLS_ENTRY_CALL_H_
