#ifndef DRAGONFLYTACK_TESTS_RAW_SERVER_H_
#define DRAGONFLYTACK_TESTS_RAW_SERVER_H_

#include <cstring>
#include <string>
#include <utility>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>

#include "dragonflytack/base/event_loop.h"
#include "dragonflytack/base/host_port.h"

namespace dragonflytack {

// A server that sends the same bytes, well-formed or not, in response to each
// request, and counts requests and connections. A request ends at an empty
// line, so a body must not contain one.
class RawServer final {
 public:
  RawServer(EventLoop* loop, std::string response, bool close)
      : loop_(loop), response_(std::move(response)), close_(close) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    listener_ = evconnlistener_new_bind(
        loop->base(), &RawServer::OnAccept, this, LEV_OPT_CLOSE_ON_FREE, -1,
        reinterpret_cast<sockaddr*>(&address), sizeof(address));
    socklen_t size = sizeof(address);
    getsockname(evconnlistener_get_fd(listener_),
                reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
  }
  ~RawServer() { evconnlistener_free(listener_); }
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  HostPort address() const { return HostPort{"127.0.0.1", port_}; }
  int requests() const { return requests_; }
  int connections() const { return connections_; }

 private:
  static void OnAccept(evconnlistener*,
                       evutil_socket_t fd,
                       sockaddr*,
                       int,
                       void* self) {
    auto* server = static_cast<RawServer*>(self);
    ++server->connections_;
    bufferevent* buffer = bufferevent_socket_new(server->loop_->base(), fd,
                                                 BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(buffer, &RawServer::OnRead, nullptr, &RawServer::OnEvent,
                      self);
    bufferevent_enable(buffer, EV_READ | EV_WRITE);
  }
  static void OnRead(bufferevent* buffer, void* self) {
    auto* server = static_cast<RawServer*>(self);
    evbuffer* input = bufferevent_get_input(buffer);
    const evbuffer_ptr end = evbuffer_search(input, "\r\n\r\n", 4, nullptr);
    if (end.pos < 0) {
      return;
    }
    evbuffer_drain(input, evbuffer_get_length(input));
    ++server->requests_;
    if (!server->response_.empty()) {
      if (server->close_) {
        bufferevent_setcb(buffer, &RawServer::OnRead, &RawServer::OnWritten,
                          &RawServer::OnEvent, self);
      }
      bufferevent_write(buffer, server->response_.data(),
                        server->response_.size());
    } else if (server->close_) {
      bufferevent_free(buffer);
    }
  }
  static void OnWritten(bufferevent* buffer, void*) {
    bufferevent_free(buffer);
  }
  static void OnEvent(bufferevent* buffer, short what, void*) {
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
      bufferevent_free(buffer);
    }
  }

  EventLoop* const loop_;
  const std::string response_;
  const bool close_;
  evconnlistener* listener_ = nullptr;
  uint16_t port_ = 0;
  int requests_ = 0;
  int connections_ = 0;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_TESTS_RAW_SERVER_H_
