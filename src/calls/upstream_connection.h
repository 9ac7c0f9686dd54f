#ifndef DRAGONFLYTACK_SRC_CALLS_UPSTREAM_CONNECTION_H_
#define DRAGONFLYTACK_SRC_CALLS_UPSTREAM_CONNECTION_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include <event2/http.h>

#include "base/buffer_budget.h"
#include "base/response_limiter.h"
#include "calls/exchange.h"
#include "dragonflytack/base/clock.h"
#include "dragonflytack/base/host_port.h"

struct evbuffer;
struct evbuffer_cb_info;
struct event_base;

namespace dragonflytack {

class DeferredDeleter;

// One connection to a target or node, with at most one exchange at a time. It
// is reused only after a complete response and closed in all other cases.
class UpstreamConnection final {
 public:
  // Notifies the pool. All functions may be called from within evhttp's
  // callbacks, and from within Send(), OnExchangeTimeout() and Abandon(). They
  // may abandon other connections but must not delete any.
  struct Events {
    // A complete response was received and the connection can be reused.
    std::function<void(UpstreamConnection*)> on_idle;
    // The timeout of an exchange expired. Other connections to the same address
    // may be unresponsive too.
    std::function<void(UpstreamConnection*)> on_timeout;
    // The connection must not be reused; the pool deletes it later.
    std::function<void(UpstreamConnection*)> on_retired;
  };

  // `deleter`, `events` and `budget` must outlive the connection. `budget`
  // limits the responses that are being received; null for no limit.
  UpstreamConnection(event_base* base,
                     DeferredDeleter* deleter,
                     const HostPort& to,
                     const Events* events,
                     BufferBudget* budget);
  ~UpstreamConnection();
  UpstreamConnection(const UpstreamConnection&) = delete;
  UpstreamConnection& operator=(const UpstreamConnection&) = delete;

  // Returns a new request for Send(). The connection owns it.
  evhttp_request* NewRequest();

  // Sends a request. Returns false if evhttp could not start it; then no byte
  // was sent and the connection is retired.
  bool Send(evhttp_request* request,
            evhttp_cmd_type method,
            const char* uri,
            Exchange* exchange);

  // Detaches the exchange after its timeout, reports on_timeout and retires the
  // connection.
  void OnExchangeTimeout();

  // Detaches the exchange and retires the connection.
  void Abandon();

  // Whether a byte of the current request may have left this process.
  bool sent() const { return sent_; }
  bool retired() const { return retired_; }

  // Returns whether the peer closed the connection or sent bytes while it was
  // idle, and the event loop has not handled this yet.
  bool IsStale() const;

  // Returns whether the peer refused a call with this identifier.
  bool HasRefused(uint64_t call) const;

  // How long the peer keeps an idle connection open; std::nullopt if its last
  // response did not specify this.
  const std::optional<Milliseconds>& keep_alive_timeout() const {
    return keep_alive_timeout_;
  }
  TimePoint idle_since() const { return idle_since_; }
  void set_idle_since(TimePoint time) { idle_since_ = time; }

 private:
  static void OnResponse(evhttp_request* request, void* self);
  static int OnHead(evhttp_request* request, void* self);
  static void OnError(evhttp_request_error error, void* self);
  static void OnClosed(evhttp_connection* connection, void* self);
  static void OnOutput(evbuffer* buffer,
                       const evbuffer_cb_info* info,
                       void* self);
  static void OnInput(evbuffer* buffer,
                      const evbuffer_cb_info* info,
                      void* self);
  void HandleResponse(evhttp_request* request);
  // Retires the connection and ends its exchange from within OnInput().
  void EndExchange(ExchangeOutcome outcome);
  void Retire();

  DeferredDeleter* const deleter_;
  const Events* const events_;
  evhttp_connection* connection_;
  Exchange* exchange_ = nullptr;
  // Send() is in progress and has not failed.
  bool sending_ = false;
  bool sent_ = false;
  bool connected_ = false;
  bool retired_ = false;
  bool too_large_ = false;
  ResponseLimiter limiter_;
  // The bytes of the response that is being received.
  BufferBudget::Share received_;
  // The request until evhttp has reported its end.
  HttpRequestPtr request_;
  std::optional<Milliseconds> keep_alive_timeout_;
  TimePoint idle_since_{};
  // Identifiers of the refused calls.
  std::vector<uint64_t> refused_calls_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_CALLS_UPSTREAM_CONNECTION_H_
