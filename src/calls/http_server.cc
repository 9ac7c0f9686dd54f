#include "calls/http_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <cerrno>
#include <cstring>
#include <utility>

#include <event2/http.h>
#include <event2/listener.h>
#include <event2/util.h>

#include "calls/http_headers.h"

namespace dragonflytack {

namespace {

// Callers connect in bursts. With the default of 128, some connections would be
// delayed until TCP retransmits the SYN.
constexpr int kBacklog = 1024;
// Longer than any deadline. Closes idle and stuck connections.
constexpr int kInactivityTimeoutSeconds = 120;

}  // namespace

std::unique_ptr<HttpServer> HttpServer::Make(
    event_base* base,
    const HostPort& address,
    Handler handler,
    Failure* reason,
    std::unique_ptr<InputGuard> guard) {
  sockaddr_storage storage{};
  int length = sizeof(storage);
  if (evutil_parse_sockaddr_port(address.ToString().c_str(),
                                 reinterpret_cast<sockaddr*>(&storage),
                                 &length) != 0) {
    *reason = {FailureCode::kInvalidArgument, address.ToString(),
               "not an IP address with a port"};
    return nullptr;
  }
  evconnlistener* listener = evconnlistener_new_bind(
      base, nullptr, nullptr,
      LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC,
      kBacklog, reinterpret_cast<sockaddr*>(&storage), length);
  if (listener == nullptr) {
    *reason = {FailureCode::kAddressInUse, address.ToString(),
               std::strerror(errno)};
    return nullptr;
  }
  // Accepted connections inherit the option.
  const int on = 1;
  setsockopt(evconnlistener_get_fd(listener), IPPROTO_TCP, TCP_NODELAY, &on,
             sizeof(on));
  evhttp* http = evhttp_new(base);
  evhttp_bound_socket* socket = evhttp_bind_listener(http, listener);
  return std::unique_ptr<HttpServer>(
      new HttpServer(http, socket, std::move(handler), std::move(guard)));
}

HttpServer::HttpServer(evhttp* http,
                       evhttp_bound_socket* socket,
                       Handler handler,
                       std::unique_ptr<InputGuard> guard)
    : http_(http),
      socket_(socket),
      handler_(std::move(handler)),
      guard_(std::move(guard)) {
  if (guard_ != nullptr) {
    guard_->Attach(http_, socket_);
  }
  evhttp_set_max_body_size(http_, 2 * kMaxBodyBytes);
  evhttp_set_max_headers_size(http_, kMaxHeaderBytes);
  evhttp_set_timeout(http_, kInactivityTimeoutSeconds);
  evhttp_set_default_content_type(http_, nullptr);
  evhttp_set_allowed_methods(http_, EVHTTP_REQ_GET | EVHTTP_REQ_POST |
                                        EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT |
                                        EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS |
                                        EVHTTP_REQ_PATCH);
  evhttp_set_gencb(http_, &HttpServer::OnRequest, this);
}

HttpServer::~HttpServer() {
  evhttp_free(http_);
}

void HttpServer::StopListening() {
  if (socket_ != nullptr) {
    if (guard_ != nullptr) {
      guard_->OnStopListening();
    }
    evhttp_del_accept_socket(http_, std::exchange(socket_, nullptr));
  }
}

void HttpServer::OnRequest(evhttp_request* request, void* self) {
  auto* server = static_cast<HttpServer*>(self);
  if (server->guard_ != nullptr && !server->guard_->OnRequest(request)) {
    evhttp_send_reply(request, HTTP_SERVUNAVAIL, nullptr, nullptr);
    return;
  }
  if (server->close_after_responses_ ||
      (server->guard_ != nullptr &&
       server->guard_->is_short_of_connections())) {
    evhttp_add_header(evhttp_request_get_output_headers(request), "Connection",
                      "close");
  }
  server->handler_(request);
}

}  // namespace dragonflytack
