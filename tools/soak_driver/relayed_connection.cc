#include "soak_driver/relayed_connection.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <utility>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

namespace dragonflytack {

RelayedConnection::RelayedConnection(
    EventLoop* loop,
    int fd,
    const HostPort& address,
    uint64_t serial,
    RelayRoute route,
    int node,
    std::function<void(RelayedConnection*)> on_end)
    : loop_(loop),
      serial_(serial),
      route_(route),
      node_(node),
      on_end_(std::move(on_end)) {
  bufferevent* near =
      bufferevent_socket_new(loop->base(), fd, BEV_OPT_CLOSE_ON_FREE);
  bufferevent* far =
      bufferevent_socket_new(loop->base(), -1, BEV_OPT_CLOSE_ON_FREE);
  directions_[0] = {this, 0, near, far, {}};
  directions_[1] = {this, 1, far, near, {}};
  // The write callback of a socket belongs to the direction that writes to it,
  // but a bufferevent has one context; OnWritten() looks the other one up.
  bufferevent_setcb(near, &OnReadable, &OnWritten, &OnEvent, &directions_[0]);
  bufferevent_setcb(far, &OnReadable, &OnWritten, &OnEvent, &directions_[1]);
  bufferevent_enable(near, EV_READ | EV_WRITE);
  bufferevent_enable(far, EV_READ | EV_WRITE);
  sockaddr_in target{};
  target.sin_family = AF_INET;
  target.sin_port = htons(address.port);
  inet_pton(AF_INET, address.address.c_str(), &target.sin_addr);
  bufferevent_socket_connect(far, reinterpret_cast<sockaddr*>(&target),
                             sizeof target);
}

RelayedConnection::~RelayedConnection() {
  for (Direction& direction : directions_) {
    loop_->timers().Cancel(direction.timer);
    for (const Chunk& chunk : direction.delayed) {
      if (chunk.bytes != nullptr) {
        evbuffer_free(chunk.bytes);
      }
    }
    bufferevent_free(direction.from);
  }
}

void RelayedConnection::SetStalled(bool forward, bool backward) {
  const bool stalled[] = {forward || silent_for_good_,
                          backward || silent_for_good_};
  for (Direction& direction : directions_) {
    direction.stalled = stalled[direction.index];
    if (direction.stalled) {
      bufferevent_disable(direction.from, EV_READ);
    } else if (!direction.ended) {
      bufferevent_enable(direction.from, EV_READ);
      SendDue(&direction);
    }
  }
}

void RelayedConnection::Reset() {
  for (const Direction& direction : directions_) {
    const linger abort{1, 0};
    setsockopt(bufferevent_getfd(direction.from), SOL_SOCKET, SO_LINGER, &abort,
               sizeof abort);
  }
  on_end_(this);
}

void RelayedConnection::OnReadable(bufferevent* socket, void* context) {
  auto* direction = static_cast<Direction*>(context);
  direction->connection->Forward(direction, bufferevent_get_input(socket));
}

void RelayedConnection::OnWritten(bufferevent* /*socket*/, void* context) {
  auto* reading = static_cast<Direction*>(context);
  RelayedConnection* connection = reading->connection;
  connection->ShutDownIfWritten(&connection->directions_[1 - reading->index]);
}

void RelayedConnection::OnEvent(bufferevent* /*socket*/,
                                short what,
                                void* context) {
  auto* direction = static_cast<Direction*>(context);
  if ((what & BEV_EVENT_ERROR) != 0) {
    direction->connection->Reset();
  } else if ((what & BEV_EVENT_EOF) != 0) {
    direction->connection->Forward(direction, nullptr);
  }
}

void RelayedConnection::Forward(Direction* direction, evbuffer* bytes) {
  Chunk chunk{loop_->clock().Now() + Milliseconds(delay_ms_), nullptr};
  if (bytes != nullptr) {
    chunk.bytes = evbuffer_new();
    evbuffer_add_buffer(chunk.bytes, bytes);
  }
  direction->delayed.push_back(chunk);
  SendDue(direction);
}

void RelayedConnection::SendDue(Direction* direction) {
  loop_->timers().Cancel(std::exchange(direction->timer, 0));
  const TimePoint now = loop_->clock().Now();
  while (!direction->stalled && !direction->delayed.empty() &&
         direction->delayed.front().due <= now) {
    evbuffer* bytes = direction->delayed.front().bytes;
    direction->delayed.pop_front();
    if (bytes == nullptr) {
      direction->ended = true;
      ShutDownIfWritten(direction);
      return;
    }
    bufferevent_write_buffer(direction->to, bytes);
    evbuffer_free(bytes);
  }
  if (!direction->stalled && !direction->delayed.empty()) {
    direction->timer = loop_->timers().SubscribeOnce(
        std::chrono::ceil<Milliseconds>(direction->delayed.front().due - now),
        [this, direction] {
          direction->timer = 0;
          SendDue(direction);
        });
  }
}

void RelayedConnection::ShutDownIfWritten(Direction* direction) {
  if (!direction->ended || direction->shut_down ||
      evbuffer_get_length(bufferevent_get_output(direction->to)) > 0) {
    return;
  }
  direction->shut_down = true;
  shutdown(bufferevent_getfd(direction->to), SHUT_WR);
  if (directions_[0].shut_down && directions_[1].shut_down) {
    on_end_(this);
  }
}

}  // namespace dragonflytack
