#ifndef DRAGONFLYTACK_SRC_CALLS_EXCHANGE_H_
#define DRAGONFLYTACK_SRC_CALLS_EXCHANGE_H_

#include <functional>
#include <string_view>

#include "calls/call_result.h"
#include "dragonflytack/base/clock.h"
#include "dragonflytack/base/timer_service.h"

namespace dragonflytack {

class UpstreamConnection;

// How one request over one connection ended.
enum class ExchangeOutcome {
  kCompleted,
  // No connection was made, so no byte was sent.
  kNotSent,
  // The time limit passed after bytes were sent.
  kTimeout,
  // The connection ended, or the answer was malformed or not whole.
  kBroken,
  // The answer is over the size limit.
  kTooLarge,
};

// One request and its answer. Destroying it before the end cancels: its
// connection is closed, so the other side notices, and a late answer reaches
// nobody.
class Exchange final {
 public:
  // `response` is set for kCompleted only. The exchange may be destroyed within
  // the callback.
  using Callback =
      std::function<void(ExchangeOutcome end, HttpRequestPtr response)>;

  // Whether an answer belongs to the request. One that does not ends the
  // exchange as kBroken, and the connection with it.
  using Judge = std::function<bool(evhttp_request* response)>;

  // `judge` may be empty: every answer belongs to the request then.
  Exchange(TimerService* timers, Judge judge, Callback callback);
  ~Exchange();
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

 private:
  friend class ConnectionPool;
  friend class UpstreamConnection;

  void Start(UpstreamConnection* connection,
             Milliseconds limit,
             Milliseconds connect_limit);
  void OnLimit(Milliseconds rest);
  bool Accepts(evhttp_request* response) const {
    return !judge_ || judge_(response);
  }
  // Reports the end. The object may be gone afterwards.
  void Finish(ExchangeOutcome end, HttpRequestPtr response);

  TimerService* const timers_;
  const Judge judge_;
  Callback callback_;
  UpstreamConnection* connection_ = nullptr;
  TimerId timer_ = 0;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_CALLS_EXCHANGE_H_
