#ifndef DRAGONFLYTACK_SRC_CALLS_EXCHANGE_H_
#define DRAGONFLYTACK_SRC_CALLS_EXCHANGE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>

#include "calls/call_result.h"
#include "dragonflytack/base/clock.h"
#include "dragonflytack/base/timer_service.h"

namespace dragonflytack {

class UpstreamConnection;

// How one exchange over one connection ended.
enum class ExchangeOutcome {
  kCompleted,
  // No byte was sent, because no connection was established.
  kNotSent,
  // No byte was sent, because bytes that belong to no request arrived on the
  // kept connection first. The peer is reachable.
  kStaleConnection,
  // The timeout expired after bytes were sent.
  kTimeout,
  // The connection closed, or the response was malformed or incomplete.
  kBroken,
  // The response belongs to another request, or its request is unknown.
  kMismatched,
  // The response exceeds the size limit.
  kTooLarge,
  // The response exceeds the part of the memory for responses that is left for
  // its connection.
  kOverBudget,
};

// What a validator concludes from a response.
enum class ResponseVerdict {
  // The response belongs to the request.
  kAccepted,
  // The same, and the peer states that it did not run the request.
  kRefused,
  // The response belongs to another request, or its request is unknown.
  kMismatched,
};

// One HTTP request and its response. Destroying the object before the outcome
// is reported cancels the exchange: its connection is closed, so that the peer
// can stop and a late response is discarded.
class Exchange final {
 public:
  // `response` is set for kCompleted only. The callback is called at most once,
  // never from within ConnectionPool::Start() or the destructor. It may destroy
  // the exchange.
  using Callback =
      std::function<void(ExchangeOutcome outcome, HttpRequestPtr response)>;

  // How a response is attributed to the request.
  struct Identity {
    // If the verdict is kMismatched, the exchange ends so and its connection is
    // closed. If the function is empty, every response is accepted.
    std::function<ResponseVerdict(evhttp_request* response)> validator;
    // Hash of the identifier that the validator compares; std::nullopt if
    // exchanges with the same identifier need not be distinguished. Otherwise a
    // connection on which a request was refused is not used for another one
    // with the same identifier, since a copy of the refusal would be accepted.
    std::optional<uint64_t> call;
  };

  Exchange(TimerService* timers, Identity identity, Callback callback);
  ~Exchange();
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

 private:
  friend class ConnectionPool;
  friend class UpstreamConnection;

  void Start(UpstreamConnection* connection,
             Milliseconds timeout,
             Milliseconds connect_timeout);
  void OnTimer(Milliseconds remaining);
  ResponseVerdict Validate(evhttp_request* response) const {
    return identity_.validator ? identity_.validator(response)
                               : ResponseVerdict::kAccepted;
  }
  // Reports the outcome. The callback may destroy this object.
  void Finish(ExchangeOutcome outcome, HttpRequestPtr response);

  TimerService* const timers_;
  const Identity identity_;
  Callback callback_;
  UpstreamConnection* connection_ = nullptr;
  TimerId timer_ = 0;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_CALLS_EXCHANGE_H_
