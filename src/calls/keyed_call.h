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

// The entry's part of a one-time call with a key: finds the key's home, by a
// claim if the caller invented the key, and passes the call on to it. Asking
// the home again is safe, since the home dispatches a key once. Destroying it
// before the end does not cancel what the home dispatched.
class KeyedCall final {
 public:
  // Called once, never from within Start(). The call may be destroyed within.
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
  // Whether a home may have got the call.
  bool maybe_passed_on() const { return passed_on_; }

 private:
  // Returns the refusal of a key that cannot be used, nothing otherwise.
  std::optional<CallResult> ReadKey();
  void Step(Claim::Step step);
  void AskStore(bool put);
  void Route();
  void Forward(const NodeLocation& owner);
  void OnExchangeEnd(ExchangeOutcome end, HttpRequestPtr response);
  CallResult ReadResponse(HttpRequestPtr response);
  void OnOwnerResult(CallResult result);
  void OnDeadline();
  // Whether a home that seems gone may still turn out to have a successor.
  bool MayHearOfSuccessor() const;
  // Asks for the home again a little later, as it is changing.
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
  // Where the last home said that the records are.
  NodeId moved_to_;
  bool passed_on_ = false;
  // A home may have got the call and its answer was lost, so a later refusal
  // does not hold for the call.
  bool response_lost_ = false;
  OneTimeDispatcher::Ticket ticket_ = 0;
  std::unique_ptr<Exchange> exchange_;
  TimerId deadline_timer_ = 0;
  TimerId next_timer_ = 0;
  CallResult pending_;
  // Callbacks of the store hold it weakly and do nothing once it is gone.
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_CALLS_KEYED_CALL_H_
