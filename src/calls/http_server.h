#ifndef DRAGONFLYTACK_SRC_CALLS_HTTP_SERVER_H_
#define DRAGONFLYTACK_SRC_CALLS_HTTP_SERVER_H_

#include <functional>
#include <memory>

#include "base/input_guard.h"
#include "dragonflytack/base/failure.h"
#include "dragonflytack/base/host_port.h"

struct event_base;
struct evhttp;
struct evhttp_bound_socket;
struct evhttp_request;

namespace dragonflytack {

// An evhttp server with the size limits of calls. evhttp itself rejects a
// request above its limit, without the headers of a refusal. Its limit is
// therefore twice that of bodies, and the handlers refuse the bodies in
// between.
class HttpServer final {
 public:
  // Called with each complete request from evhttp's callbacks. The handler must
  // send the response through evhttp, before it returns or later. It may call
  // StopListening() but must not destroy the server.
  using Handler = std::function<void(evhttp_request*)>;

  // Returns null if the address cannot be bound. Without a guard the input is
  // limited for each request only.
  static std::unique_ptr<HttpServer> Make(
      event_base* base,
      const HostPort& address,
      Handler handler,
      Failure* reason,
      std::unique_ptr<InputGuard> guard = nullptr);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Adds "Connection: close" to all responses from now on. Callers then use
  // other nodes for their next calls and send none on a connection that is
  // being closed.
  void CloseAfterResponses() { close_after_responses_ = true; }

  // Returns the number of ended connections whose peers may not have read the
  // last response yet, see InputGuard.
  size_t CountLingering() const {
    return guard_ == nullptr ? 0 : guard_->CountLingering();
  }

  // Refuses new connections; calls on open ones are still handled.
  void StopListening();

 private:
  HttpServer(evhttp* http,
             evhttp_bound_socket* socket,
             Handler handler,
             std::unique_ptr<InputGuard> guard);
  static void OnRequest(evhttp_request* request, void* self);

  evhttp* const http_;
  evhttp_bound_socket* socket_;
  const Handler handler_;
  // Null if the server has none.
  const std::unique_ptr<InputGuard> guard_;
  bool close_after_responses_ = false;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_CALLS_HTTP_SERVER_H_
