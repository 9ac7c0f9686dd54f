#ifndef DRAGONFLYTACK_TESTS_HOLDING_RELAY_H_
#define DRAGONFLYTACK_TESTS_HOLDING_RELAY_H_

#include <memory>
#include <utility>
#include <vector>

#include <criterion/criterion.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

#include "dragonflytack/base/event_loop.h"
#include "dragonflytack/base/host_port.h"

namespace dragonflytack {

// Relays TCP connections to a server and holds back the end of each stream, as
// a network does whose last packet is delayed. Can make the open connections
// silent, as a network does that has lost their state.
class HoldingRelay final {
 public:
  HoldingRelay(EventLoop* loop, const HostPort& address, HostPort server)
      : loop_(loop), address_(address), server_(std::move(server)) {
    sockaddr_storage bound;
    int size = sizeof(bound);
    cr_assert_eq(
        evutil_parse_sockaddr_port(address.ToString().c_str(),
                                   reinterpret_cast<sockaddr*>(&bound), &size),
        0);
    listener_ =
        evconnlistener_new_bind(loop->base(), &HoldingRelay::OnAccept, this,
                                LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
                                reinterpret_cast<sockaddr*>(&bound), size);
    cr_assert(listener_ != nullptr);
  }
  ~HoldingRelay() {
    evconnlistener_free(listener_);
    for (const auto& side : sides_) {
      bufferevent_free(side->socket);
    }
  }
  HoldingRelay(const HoldingRelay&) = delete;
  HoldingRelay& operator=(const HoldingRelay&) = delete;

  const HostPort& address() const { return address_; }
  // Number of streams whose end is held back.
  int held_ends() const { return held_ends_; }
  // Drops all further bytes of the connections that are open now.
  void Silence() {
    for (const auto& side : sides_) {
      side->is_silent = true;
    }
  }

 private:
  struct Side {
    HoldingRelay* relay = nullptr;
    bufferevent* socket = nullptr;
    Side* other = nullptr;
    bool is_silent = false;
  };

  Side* AddSide(int fd) {
    sides_.push_back(std::make_unique<Side>());
    Side* const side = sides_.back().get();
    side->relay = this;
    side->socket =
        bufferevent_socket_new(loop_->base(), fd, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(side->socket, &HoldingRelay::OnReadable, nullptr,
                      &HoldingRelay::OnEvent, side);
    bufferevent_enable(side->socket, EV_READ | EV_WRITE);
    return side;
  }

  static void OnAccept(evconnlistener* /*listener*/,
                       int fd,
                       sockaddr* /*address*/,
                       int /*size*/,
                       void* self) {
    auto* const relay = static_cast<HoldingRelay*>(self);
    // Nagle's algorithm would delay the frames of a handshake by 40 ms.
    const int enabled = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
    Side* const client = relay->AddSide(fd);
    Side* const server = relay->AddSide(-1);
    client->other = server;
    server->other = client;
    sockaddr_storage address;
    int size = sizeof(address);
    evutil_parse_sockaddr_port(relay->server_.ToString().c_str(),
                               reinterpret_cast<sockaddr*>(&address), &size);
    bufferevent_socket_connect(server->socket,
                               reinterpret_cast<sockaddr*>(&address), size);
  }

  static void OnReadable(bufferevent* socket, void* side) {
    evbuffer* const input = bufferevent_get_input(socket);
    if (static_cast<Side*>(side)->is_silent) {
      evbuffer_drain(input, evbuffer_get_length(input));
      return;
    }
    bufferevent_write_buffer(static_cast<Side*>(side)->other->socket, input);
  }

  static void OnEvent(bufferevent* socket, short what, void* side) {
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
      OnReadable(socket, side);
      ++static_cast<Side*>(side)->relay->held_ends_;
    }
  }

  EventLoop* const loop_;
  const HostPort address_;
  const HostPort server_;
  evconnlistener* listener_ = nullptr;
  std::vector<std::unique_ptr<Side>> sides_;
  int held_ends_ = 0;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_TESTS_HOLDING_RELAY_H_
