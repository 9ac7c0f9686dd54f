#ifndef DRAGONFLYTACK_SRC_CALLS_UPSTREAM_CONNECTION_H_
#define DRAGONFLYTACK_SRC_CALLS_UPSTREAM_CONNECTION_H_

#include <cstdint>
#include <functional>
#include <optional>

#include <event2/http.h>

#include "calls/exchange.h"
#include "dragonflytack/base/clock.h"
#include "dragonflytack/base/host_port.h"

struct evbuffer;
struct evbuffer_cb_info;
struct event_base;

namespace dragonflytack {

class DeferredDeleter;

// One connection to a target or node, with at most one exchange at a time. It
// is closed, never reused, after anything but a whole answer.
class UpstreamConnection final {
 public:
  // What its pool is told. Both may be called from within evhttp's callbacks.
  struct Events {
    // A whole answer came and the connection can be used again.
    std::function<void(UpstreamConnection*)> on_idle;
    // The time limit of an exchange passed. Other connections to the same
    // address may have gone silent too.
    std::function<void(UpstreamConnection*)> on_silent;
    // The connection must not be used again; the pool deletes it later.
    std::function<void(UpstreamConnection*)> on_retired;
  };

  // `deleter` and `events` must outlive the connection.
  UpstreamConnection(event_base* base,
                     DeferredDeleter* deleter,
                     const HostPort& to,
                     const Events* events);
  ~UpstreamConnection();
  UpstreamConnection(const UpstreamConnection&) = delete;
  UpstreamConnection& operator=(const UpstreamConnection&) = delete;

  // Returns a new request for Send().
  evhttp_request* NewRequest();

  // Sends a request. Returns false when evhttp could not start it; nothing was
  // sent then, and the connection is retired.
  bool Send(evhttp_request* request,
            evhttp_cmd_type method,
            const char* uri,
            Exchange* exchange);

  // Drops the exchange after its time limit and retires the connection.
  void GiveUp();

  // Drops the exchange and retires the connection.
  void Abandon();

  // Whether a byte of the present request may have left this process.
  bool sent() const { return sent_; }
  bool retired() const { return retired_; }

  // Returns whether the other side closed or sent something while the
  // connection was idle and the loop has not noticed yet.
  bool IsStale() const;

  // How long the other side keeps an idle connection; nothing when it does not
  // say.
  const std::optional<Milliseconds>& kept_for() const { return kept_for_; }
  TimePoint idle_since() const { return idle_since_; }
  void set_idle_since(TimePoint time) { idle_since_ = time; }

 private:
  static void OnResponse(evhttp_request* request, void* self);
  static void OnError(evhttp_request_error error, void* self);
  static void OnClosed(evhttp_connection* connection, void* self);
  static void OnOutput(evbuffer* buffer,
                       const evbuffer_cb_info* info,
                       void* self);
  void HandleResponse(evhttp_request* request);
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
  std::optional<Milliseconds> kept_for_;
  TimePoint idle_since_{};
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_CALLS_UPSTREAM_CONNECTION_H_
