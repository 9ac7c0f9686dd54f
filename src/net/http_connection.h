#ifndef DRAGONFLYTACK_NET_HTTP_CONNECTION_H_
#define DRAGONFLYTACK_NET_HTTP_CONNECTION_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/response_limiter.h"
#include "dragonflytack/base/host_port.h"
#include "dragonflytack/base/timer_service.h"

struct evbuffer;
struct evbuffer_cb_entry;
struct evbuffer_cb_info;
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

// Outcome of an HTTP exchange.
enum class HttpOutcome {
  // A complete response with a Content-Length was read.
  kCompleted,
  // No connection was made, so no byte of the request was sent.
  kNotSent,
  // No byte of the request was sent, because bytes that belong to no request
  // arrived on the kept connection first.
  kStaleConnection,
  // The request may have reached the peer, but no complete response was
  // received. The status is set if a response ended without a Content-Length
  // that proves it complete, and 0 otherwise.
  kLost,
  // As kLost, because the timeout passed.
  kTimeout,
  // As kLost, because the body of the response exceeded the size limit.
  kTooLarge,
  // As kLost, because the response is not HTTP, or its head, trailers, interim
  // responses or chunk framing exceeded their limits.
  kMalformed,
};

struct HttpResponse final {
  HttpOutcome outcome = HttpOutcome::kLost;
  int status = 0;
  // By name in lower case.
  std::map<std::string, std::string> headers;
  std::string body;
};

// One persistent HTTP/1.1 connection that carries one request at a time. A
// request is written at most once: it is not sent again after a failure. After
// any outcome but kCompleted the connection is closed, and the next request
// opens a new one. Limits bound what a peer can send in response to a request.
// Must be used only on the thread of `loop`. The process must ignore SIGPIPE.
class HttpConnection final {
 public:
  using Callback = std::function<void(HttpResponse)>;

  // `loop` must outlive the object.
  HttpConnection(EventLoop* loop, HostPort peer, size_t max_response_bytes);

  // Drops a pending callback. The object may be destroyed from its own
  // callback.
  ~HttpConnection();
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  // Sends a request. Must not be called while busy(). The callback is called
  // once, on a later turn of the loop, after busy() has become false.
  void Send(const HttpRequest& request,
            Milliseconds timeout,
            Callback callback);

  bool busy() const { return callback_ != nullptr; }

  // Closes the connection, so that the next request opens a new one. Must not
  // be called while busy().
  void CloseIdle();

 private:
  static void OnResponse(evhttp_request* request, void* self);
  static int OnHead(evhttp_request* request, void* self);
  static void OnOutput(evbuffer* buffer,
                       const evbuffer_cb_info* info,
                       void* self);
  static void OnInput(evbuffer* buffer,
                      const evbuffer_cb_info* info,
                      void* self);
  void Open();
  void Close();
  // Calls Finish() on the next turn of the loop.
  void FinishLater();
  // Calls the callback, after closing the connection if the exchange failed.
  void Finish();

  struct RequestDeleter {
    void operator()(evhttp_request* request) const;
  };

  EventLoop* const loop_;
  const HostPort peer_;
  const size_t max_response_bytes_;
  evhttp_connection* connection_ = nullptr;
  evbuffer_cb_entry* output_callback_ = nullptr;
  evbuffer_cb_entry* input_callback_ = nullptr;
  // Bytes of the request that were added to the socket's output buffer. evhttp
  // adds them only once the connection is made, so 0 proves that nothing was
  // sent.
  uint64_t written_bytes_ = 0;
  // Whether bytes of the request may have left this process.
  bool sent_ = false;
  ResponseLimiter limiter_;
  // The request until Finish(). It outlives its place in the queue of
  // `connection_`.
  std::unique_ptr<evhttp_request, RequestDeleter> request_;
  // kLost, or the reason for which the limits or evhttp reject the response.
  HttpOutcome failure_ = HttpOutcome::kLost;
  TimerId timeout_timer_ = 0;
  TimerId finish_timer_ = 0;
  HttpResponse response_;
  Callback callback_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_NET_HTTP_CONNECTION_H_
