#include "calls/connection_probe.h"

#include <cerrno>
#include <string>
#include <utility>

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/util.h>
#include <sys/socket.h>

namespace dragonflytack {

namespace {

// A refusal arrives within a round trip; 250 ms is the limit for connections in
// ConnectionPool.
constexpr timeval kTimeout{0, 250'000};

}  // namespace

ConnectionProbe::ConnectionProbe(event_base* base,
                                 const HostPort& to,
                                 Callback callback)
    : callback_(std::move(callback)),
      socket_(bufferevent_socket_new(
          base,
          -1,
          BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS)) {
  bufferevent_setcb(socket_, nullptr, nullptr, &OnEvent, this);
  bufferevent_set_timeouts(socket_, &kTimeout, &kTimeout);
  bufferevent_enable(socket_, EV_READ | EV_WRITE);
  sockaddr_storage address{};
  int length = sizeof(address);
  if (evutil_parse_sockaddr_port(to.ToString().c_str(),
                                 reinterpret_cast<sockaddr*>(&address),
                                 &length) == 0) {
    // Failures are reported through the callback.
    bufferevent_socket_connect(socket_, reinterpret_cast<sockaddr*>(&address),
                               length);
  }
}

ConnectionProbe::~ConnectionProbe() {
  bufferevent_free(socket_);
}

void ConnectionProbe::OnEvent(bufferevent* /*socket*/, short what, void* self) {
  const auto* probe = static_cast<ConnectionProbe*>(self);
  const bool is_refused =
      (what & BEV_EVENT_ERROR) != 0 && EVUTIL_SOCKET_ERROR() == ECONNREFUSED;
  const Callback callback = probe->callback_;
  callback(is_refused);
}

}  // namespace dragonflytack
