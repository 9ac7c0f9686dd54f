#ifndef DRAGONFLYTACK_STORE_HTTP_POOL_H_
#define DRAGONFLYTACK_STORE_HTTP_POOL_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <vector>

#include "dragonflytack/base/host_port.h"
#include "dragonflytack/base/timer_service.h"
#include "net/http_connection.h"

namespace dragonflytack {

class EventLoop;

// A limited number of connections to one address, and a queue of the requests
// that wait for an idle one. The wait counts towards the timeout of a request.
class HttpPool final {
 public:
  using ResponseCallback = std::function<void(HttpResponse)>;

  // `loop` must outlive the pool.
  HttpPool(EventLoop* loop,
           HostPort peer,
           size_t max_connections,
           size_t max_response_bytes);
  // Drops all pending callbacks.
  ~HttpPool();
  HttpPool(const HttpPool&) = delete;
  HttpPool& operator=(const HttpPool&) = delete;

  // Sends a request at most once. The callback is called on a later turn of the
  // loop and may destroy the pool.
  void Send(HttpRequest request,
            Milliseconds timeout,
            ResponseCallback callback);

  // Closes the kept connections that carry no request. To be called when a
  // request to the same address got no response: other connections may have
  // become silent with its connection, and a request on one of them is lost
  // as well.
  void CloseIdle();

 private:
  struct QueuedRequest {
    uint64_t id = 0;
    HttpRequest request;
    TimePoint deadline;
    TimerId timer = 0;
    ResponseCallback callback;
  };

  // Returns an idle connection, a new one while the limit allows it, or null.
  HttpConnection* FindIdleConnection();
  void Dispatch();
  // Completes a request that is still queued at its deadline with kNotSent.
  void ExpireQueued(uint64_t id);

  EventLoop* const loop_;
  const HostPort peer_;
  const size_t max_connections_;
  const size_t max_response_bytes_;
  uint64_t next_id_ = 1;
  std::vector<std::unique_ptr<HttpConnection>> connections_;
  std::deque<QueuedRequest> queue_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_STORE_HTTP_POOL_H_
