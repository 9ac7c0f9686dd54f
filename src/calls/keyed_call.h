#ifndef DRAGONFLYTACK_SRC_CALLS_KEYED_CALL_H_
#define DRAGONFLYTACK_SRC_CALLS_KEYED_CALL_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "calls/call_context.h"
#include "calls/call_request.h"
#include "calls/call_result.h"
#include "calls/exchange.h"
#include "calls/one_time_dispatcher.h"
#include "dragonflytack/base/timer_service.h"
#include "dragonflytack/routing/node_location.h"
#include "dragonflytack/store/store_object.h"
#include "onetime/claim.h"
#include "onetime/one_time_key.h"

namespace dragonflytack {

class OneTime;

// A one-time call with a key at its entry node. Finds the owner of the key, by
// a claim if the caller chose the key, and forwards the call to it.
// Repeating the request to the owner is safe, since the owner dispatches a key
// once. Destroying the object early does not cancel a call that the owner has
// dispatched.
class KeyedCall final {
 public:
  // Called once, never from within Start(). The callback may destroy the
  // KeyedCall.
  using Callback = std::function<void(CallResult)>;

  // `context` and `one_time` must outlive the call.
  KeyedCall(const CallContext* context,
            OneTime* one_time,
            CallRequest request,
            std::string key_text,
            Callback callback);
  ~KeyedCall();
  KeyedCall(const KeyedCall&) = delete;
  KeyedCall& operator=(const KeyedCall&) = delete;

  void Start();

  const CallRequest& request() const { return request_; }
  // Whether an owner may have received the call.
  bool maybe_forwarded() const {
    return maybe_forwarded_ || exchange_ != nullptr;
  }

 private:
  // Reads the key or prepares its claim. Returns the refusal if the key cannot
  // be used, otherwise std::nullopt.
  std::optional<CallResult> ReadKey();
  void PerformStep(Claim::Step step);
  void SendStoreRequest(bool put);
  void Route();
  void Forward(const NodeLocation& owner);
  void OnExchangeFinished(ExchangeOutcome outcome, HttpRequestPtr response);
  CallResult ReadResponse(HttpRequestPtr response);
  void OnOwnerResult(CallResult result);
  void OnDeadline();
  // Whether the call is recent enough that the notice of a successor may still
  // arrive, so that an owner without a live process is looked up again.
  bool IsWithinSuccessorGrace() const;
  // Calls Route() again after a delay, for an owner that is changing.
  void RouteLater();
  void FinishLater(CallResult result);
  void Finish(CallResult result);
  TimePoint Now() const;

  const CallContext* const context_;
  OneTime* const one_time_;
  const CallRequest request_;
  const std::string key_text_;
  Callback callback_;
  std::unique_ptr<Claim> claim_;
  OneTimeKey key_;
  // The node that the last owner named as holder of the records; may be empty.
  NodeId moved_to_;
  bool maybe_forwarded_ = false;
  // An owner may have received the call, but its response was lost. A later
  // refusal then does not prove that the call was not run.
  bool response_lost_ = false;
  OneTimeDispatcher::WaiterId waiter_id_ = 0;
  std::unique_ptr<Exchange> exchange_;
  TimerId deadline_timer_ = 0;
  TimerId next_timer_ = 0;
  CallResult pending_result_;
  // Callbacks of the store client hold a weak pointer to it and return without
  // effect once it has expired.
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_CALLS_KEYED_CALL_H_
