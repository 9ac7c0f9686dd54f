#ifndef DRAGONFLYTACK_SRC_CALLS_ROUTED_CALL_H_
#define DRAGONFLYTACK_SRC_CALLS_ROUTED_CALL_H_

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
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

// Routes one call: chooses an endpoint, starts an attempt, hedges or retries if
// allowed, and reports the result. The policy for one-time calls can defer
// Start() until the call may be dispatched, and processes the result.
// Destroying the object before the result is reported cancels the call
// downstream.
class RoutedCall final {
 public:
  // Called once, never from within Start(). The callback may destroy the call.
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

  // Processing time reported for the target, zero if unknown.
  std::chrono::microseconds target_time() const { return target_time_; }

 private:
  bool is_one_time() const {
    return request_.policy.kind == ServiceKind::kOneTime;
  }
  TimePoint Now() const;
  // One dispatch of the call to the node of one target.
  struct Attempt {
    ServicePool::EndpointPtr endpoint;
    int number = 0;
    // Text of the AttemptId of a one-time call, otherwise empty.
    std::string id;
    TimePoint start;
    std::unique_ptr<CallSpan> span;
    std::unique_ptr<Exchange> exchange;
  };

  // Starts an attempt at the best endpoint that has not been attempted yet. If
  // there is none, reports `previous` unless another attempt is in flight.
  void StartAttempt(CallResult previous);
  // Returns false if the connection limit of the endpoint is reached.
  bool StartAttemptAt(ServicePool::EndpointPtr endpoint, Milliseconds limit);
  // Schedules a hedged attempt of an idempotent call for the case that the
  // first attempt is slow. The first complete response of the two is used.
  void ArmHedge();
  void StartHedge();
  // Returns whether a response of a node belongs to the attempt.
  ResponseVerdict Validate(const Attempt& attempt,
                           evhttp_request* response) const;
  void OnExchangeFinished(Attempt* attempt,
                          ExchangeOutcome exchange_outcome,
                          HttpRequestPtr response);
  CallResult ClassifyExchange(Attempt* attempt,
                              ExchangeOutcome exchange_outcome,
                              HttpRequestPtr response,
                              AttemptOutcome* attempt_outcome);
  CallResult ReadResponse(const Attempt& attempt,
                          HttpRequestPtr response,
                          AttemptOutcome* attempt_outcome);
  void WriteRequest(const Attempt& attempt,
                    evhttp_request* out,
                    Milliseconds remaining);
  // Returns whether to retry, and charges the retry budget if the call may have
  // reached a target. Marks the result as retried if only the budget forbids
  // the retry.
  bool ReserveRetry(CallResult* result);
  // Returns whether the call may start an attempt besides those in flight.
  bool HasAttemptsLeft() const;
  void EndAttempt(Attempt* attempt,
                  AttemptOutcome attempt_outcome,
                  std::string_view outcome);
  // Reports the result in the next iteration of the event loop.
  void FinishLater(CallResult result);
  void Finish(CallResult result);

  const CallContext* const context_;
  const CallRequest request_;
  Callback callback_;
  int started_attempts_ = 0;
  // Attempts that may have reached a target.
  int delivered_attempts_ = 0;
  std::vector<ServicePool::EndpointPtr> attempted_endpoints_;
  std::vector<std::unique_ptr<Attempt>> attempts_in_flight_;
  // A complete response with a server error. The caller receives it if no retry
  // produces a better one.
  std::optional<CallResult> failed_response_;
  TimerId hedge_timer_ = 0;
  TimerId finish_timer_ = 0;
  CallResult pending_result_;
  bool maybe_dispatched_ = false;
  // An attempt ended with an unknown outcome.
  bool maybe_ran_ = false;
  std::chrono::microseconds target_time_{0};
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_CALLS_ROUTED_CALL_H_
