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
#include "store/http_connection.h"

namespace dragonflytack {

class EventLoop;

// A few connections to one address and the calls that wait for one of them. The
// wait counts towards the time limit of a call.
class HttpPool final {
 public:
  using ResponseCallback = std::function<void(HttpResponse)>;

  // `loop` must outlive the pool.
  HttpPool(EventLoop* loop,
           HostPort peer,
           size_t max_connections,
           size_t max_response_bytes);
  // Drops the answers that are still due.
  ~HttpPool();
  HttpPool(const HttpPool&) = delete;
  HttpPool& operator=(const HttpPool&) = delete;

  // Sends a request once. The callback comes later and may destroy the pool.
  void Send(HttpRequest request,
            Milliseconds timeout,
            ResponseCallback callback);

 private:
  struct Call {
    uint64_t id = 0;
    HttpRequest request;
    TimePoint deadline;
    TimerId timer = 0;
    ResponseCallback callback;
  };

  HttpConnection* FreeConnection();
  void Dispatch();
  void ExpireWaiting(uint64_t id);

  EventLoop* const loop_;
  const HostPort peer_;
  const size_t max_connections_;
  const size_t max_response_bytes_;
  uint64_t next_id_ = 1;
  std::vector<std::unique_ptr<HttpConnection>> connections_;
  std::deque<Call> waiting_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_STORE_HTTP_POOL_H_
