#ifndef DRAGONFLYTACK_STORE_HTTP_CONNECTION_H_
#define DRAGONFLYTACK_STORE_HTTP_CONNECTION_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "dragonflytack/base/host_port.h"
#include "dragonflytack/base/timer_service.h"

struct evbuffer_cb_entry;
struct evhttp_connection;
struct evhttp_request;

namespace dragonflytack {

class EventLoop;

// A request over an HttpConnection. `method` is GET, PUT, POST or DELETE.
struct HttpRequest final {
  std::string method = "GET";
  // Path and query, percent-encoded.
  std::string target;
  std::map<std::string, std::string> headers;
  std::string body;
};

// How an exchange ended.
enum class HttpOutcome {
  kCompleted,  // A whole answer with a Content-Length was read.
  kNotSent,    // No byte of the request left: there was no connection.
  kLost,       // The request may have arrived, but no whole answer did.
  kTimeout,    // As kLost, because the time had run out.
  kTooLarge,   // As kLost, because the answer was over the limit.
};

struct HttpResponse final {
  HttpOutcome end = HttpOutcome::kLost;
  int status = 0;
  // Names in lower case.
  std::map<std::string, std::string> headers;
  std::string body;
};

// One persistent HTTP/1.1 connection that carries one request at a time. A
// request is written at most once: nothing is sent again after a failure. After
// any end but kCompleted the connection is closed and the next request opens a
// new one. Belongs to the thread of `loop`. The process must ignore SIGPIPE.
class HttpConnection final {
 public:
  using Callback = std::function<void(HttpResponse)>;

  // `loop` must outlive the object.
  HttpConnection(EventLoop* loop, HostPort peer, size_t max_response_bytes);

  // Drops the answer that is still due. May be called from a callback.
  ~HttpConnection();
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  // Sends a request. Must not be called while busy(). The callback comes once,
  // later, when busy() is false again.
  void Send(const HttpRequest& request,
            Milliseconds timeout,
            Callback callback);

  bool busy() const { return callback_ != nullptr; }

 private:
  static void OnResponse(evhttp_request* request, void* self);
  void Open();
  void Close();
  // Closes the connection after a failure and calls the callback.
  void Finish();

  EventLoop* const loop_;
  const HostPort peer_;
  const size_t max_response_bytes_;
  evhttp_connection* connection_ = nullptr;
  evbuffer_cb_entry* write_counter_ = nullptr;
  // Bytes of the request that were handed to the socket's buffer. evhttp hands
  // them over only once the connection is made, so 0 proves that nothing left.
  uint64_t written_ = 0;
  bool too_large_ = false;
  TimerId timeout_timer_ = 0;
  TimerId finish_timer_ = 0;
  HttpResponse response_;
  Callback callback_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_STORE_HTTP_CONNECTION_H_
