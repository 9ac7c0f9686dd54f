#ifndef DRAGONFLYTACK_SRC_CALLS_ROUTED_CALL_H_
#define DRAGONFLYTACK_SRC_CALLS_ROUTED_CALL_H_

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "calls/call_context.h"
#include "calls/call_request.h"
#include "calls/call_result.h"
#include "calls/call_span.h"
#include "calls/exchange.h"
#include "dragonflytack/base/clock.h"
#include "routing/endpoint_state.h"

namespace dragonflytack {

// The life of one call: choose a target, attempt, perhaps retry, answer. A
// policy for one-time calls can wrap it; it starts the call when it may be
// dispatched and takes the result. Destroying it before the end cancels the
// call downstream.
class RoutedCall final {
 public:
  // Called once, never from within Start(). The call may be destroyed within.
  using Callback = std::function<void(CallResult)>;

  // `context` must outlive the call.
  RoutedCall(const CallContext* context,
             CallRequest request,
             Callback callback);
  ~RoutedCall();
  RoutedCall(const RoutedCall&) = delete;
  RoutedCall& operator=(const RoutedCall&) = delete;

  void Start();

  const CallRequest& request() const { return request_; }

  // Whether a byte of the call may have reached a target.
  bool maybe_dispatched() const { return maybe_dispatched_; }

  // Time that the target took for the call, zero when it is not known.
  std::chrono::microseconds target_time() const { return target_time_; }

 private:
  bool is_one_time() const {
    return request_.policy.kind == ServiceKind::kOneTime;
  }
  TimePoint Now() const;
  // One request to the node of one target.
  struct Attempt {
    ServicePool::EndpointPtr target;
    int number = 0;
    TimePoint start;
    std::unique_ptr<CallSpan> span;
    std::unique_ptr<Exchange> exchange;
  };

  // Starts an attempt at the best target that was not tried. When there is
  // none, reports `previous` unless another attempt is still under way.
  void Begin(CallResult previous);
  // Returns whether a connection to the target could be had.
  bool BeginAt(ServicePool::EndpointPtr target, Milliseconds limit);
  // A second attempt of an idempotent call whose first one is slow or silent.
  // The first whole answer of the two is taken.
  void ArmHedge();
  void OnHedge();
  void OnExchangeEnd(Attempt* attempt,
                     ExchangeOutcome end,
                     HttpRequestPtr response);
  CallResult ReadExchange(Attempt* attempt,
                          ExchangeOutcome end,
                          HttpRequestPtr response,
                          AttemptOutcome* health);
  CallResult ReadResponse(const Attempt& attempt,
                          HttpRequestPtr response,
                          AttemptOutcome* health);
  void WriteRequest(const Attempt& attempt,
                    evhttp_request* out,
                    Milliseconds remaining);
  // Returns whether to retry. Marks the result when only the budget forbids it.
  bool MayRetry(CallResult* result);
  // Whether an attempt besides those under way may reach a target.
  bool HasAttemptsLeft() const;
  void EndAttempt(Attempt* attempt,
                  AttemptOutcome health,
                  std::string_view outcome);
  // Reports the result in the next round of the loop.
  void FinishLater(CallResult result);
  void Finish(CallResult result);

  const CallContext* const context_;
  const CallRequest request_;
  Callback callback_;
  int attempts_ = 0;
  // Attempts that may have reached a target.
  int arrivals_ = 0;
  std::vector<ServicePool::EndpointPtr> tried_;
  std::vector<std::unique_ptr<Attempt>> open_;
  // A whole answer that tells of a failure of the target. It is given to the
  // caller when a repetition brings no better one.
  std::optional<CallResult> failed_response_;
  TimerId hedge_timer_ = 0;
  TimerId finish_timer_ = 0;
  CallResult pending_;
  bool maybe_dispatched_ = false;
  // An attempt ended without saying whether the call was run.
  bool maybe_ran_ = false;
  std::chrono::microseconds target_time_{0};
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_CALLS_ROUTED_CALL_H_
