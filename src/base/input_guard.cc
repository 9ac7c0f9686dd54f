#include "base/input_guard.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <tuple>
#include <utility>

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/listener.h>

#include "base/input_connection.h"
#include "dragonflytack/base/event_loop.h"

namespace dragonflytack {

namespace {

// Bounds how long an ended connection counts and how late a time limit acts.
constexpr Milliseconds kSweepPeriod{250};
// A sweep that is this late shows that the process was paused. Bytes may have
// arrived meanwhile that are not read yet.
constexpr Milliseconds kPause{1'000};
// Connections over the limit until those that were dropped are closed, in the
// next turn of the event loop.
constexpr size_t kSurplusConnections = 16;

// Dropped connections are closed within this time.
constexpr Milliseconds kListenPause{1};
// A connection that waits for longer, because all others are in use, is
// refused. The callers can then use another node.
constexpr Milliseconds kMaxAcceptDelay{50};
// Connections that are refused at once, so that others are served meanwhile.
constexpr int kMaxRefusals = 64;
// A request without a body.
constexpr size_t kMaxRefusedBytes = 16 << 10;

}  // namespace

InputGuard::InputGuard(EventLoop* loop,
                       InputLedger* ledger,
                       Options options,
                       std::function<void(const Dropped&)> on_dropped)
    : loop_(loop),
      ledger_(ledger),
      options_(std::move(options)),
      on_dropped_(std::move(on_dropped)),
      check_event_(event_new(loop->base(), -1, 0, &InputGuard::OnCheck, this)),
      sweep_timer_(
          loop->timers().SubscribeEvery(kSweepPeriod, [this] { Sweep(); })),
      last_sweep_(Now()) {}

InputGuard::~InputGuard() {
  loop_->timers().Cancel(sweep_timer_);
  loop_->timers().Cancel(listen_timer_);
  event_free(check_event_);
}

void InputGuard::Attach(evhttp* http, evhttp_bound_socket* socket) {
  socket_ = socket;
  evhttp_set_bevcb(http, &InputGuard::OnAccept, this);
}

bool InputGuard::OnRequest(evhttp_request* request) {
  const auto found = connections_.find(evhttp_connection_get_bufferevent(
      evhttp_request_get_connection(request)));
  if (found == connections_.end()) {
    return true;
  }
  if (found->second->dropped()) {
    return false;
  }
  found->second->OnRequest();
  return true;
}

bufferevent* InputGuard::OnAccept(event_base* base, void* self) {
  auto* const guard = static_cast<InputGuard*>(self);
  guard->LimitConnections();
  // evhttp does not remove the events of a bufferevent that has further
  // references. With this option it leaves the socket open until they are
  // removed; otherwise a new socket with the same number would inherit them.
  bufferevent* const bufev =
      bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
  if (bufev != nullptr) {
    guard->connections_.emplace(
        bufev, std::make_unique<InputConnection>(guard, bufev));
  }
  return bufev;
}

void InputGuard::LimitConnections() {
  if (connections_.size() < options_.max_connections) {
    return;
  }
  ForgetEnded();
  DropLeastInUse();
  if (IsFull() && socket_ != nullptr && listen_timer_ == 0) {
    evconnlistener_disable(evhttp_bound_socket_get_listener(socket_));
    paused_since_ = Now();
    ResumeListeningLater();
  }
}

bool InputGuard::IsFull() const {
  return connections_.size() + 1 >=
         options_.max_connections + kSurplusConnections;
}

void InputGuard::DropLeastInUse() {
  const TimePoint now = Now();
  // Connections that have not been dropped yet.
  size_t count = 0;
  InputConnection* victim = nullptr;
  std::tuple<DropOrder, TimePoint> lowest;
  for (const auto& [bufev, connection] : connections_) {
    if (connection->dropped()) {
      continue;
    }
    ++count;
    const std::tuple order(connection->FindDropOrder(now),
                           connection->last_progress());
    if (std::get<DropOrder>(order) != DropOrder::kNever &&
        (victim == nullptr || order < lowest)) {
      victim = connection.get();
      lowest = order;
    }
  }
  if (count >= options_.max_connections && victim != nullptr) {
    victim->Drop(DropCause::kConnectionLimit);
  }
}

void InputGuard::ResumeListeningLater() {
  listen_timer_ = loop_->timers().SubscribeOnce(kListenPause, [this] {
    listen_timer_ = 0;
    ForgetEnded();
    is_short_of_connections_ = IsFull();
    if (socket_ == nullptr) {
      return;
    }
    if (!IsFull()) {
      evconnlistener_enable(evhttp_bound_socket_get_listener(socket_));
      return;
    }
    DropLeastInUse();
    if (Now() - paused_since_ >= kMaxAcceptDelay) {
      RefuseWaiting();
    }
    ResumeListeningLater();
  });
}

void InputGuard::RefuseWaiting() const {
  const int listener =
      evconnlistener_get_fd(evhttp_bound_socket_get_listener(socket_));
  for (int i = 0; i < kMaxRefusals; ++i) {
    const int fd =
        accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) {
      return;
    }
    on_dropped_(
        {DropCause::kConnectionLimit, InputConnection::FindPeer(fd), 0});
    InputConnection::SendRefusal(fd, DropCause::kConnectionLimit,
                                 options_.refusal_headers);
    shutdown(fd, SHUT_WR);
    // Unread bytes would make the kernel reset the connection.
    std::array<char, kMaxRefusedBytes> bytes;
    recv(fd, bytes.data(), bytes.size(), MSG_DONTWAIT);
    close(fd);
  }
}

void InputGuard::Sweep() {
  const TimePoint now = Now();
  const auto late = now - std::exchange(last_sweep_, now) - kSweepPeriod;
  ForgetEnded();
  for (const auto& [bufev, connection] : connections_) {
    if (late > kPause) {
      connection->Postpone(late);
    }
    connection->CheckLinger(now);
    if (connection->is_lingering()) {
      continue;
    }
    if (const auto cause = ledger_->FindOverdue(*connection, now);
        cause && !connection->dropped()) {
      connection->Drop(*cause);
    }
  }
}

void InputGuard::ForgetEnded() {
  std::erase_if(connections_, [](const auto& item) {
    item.second->LingerIfEnded();
    return item.second->IsOver();
  });
}

size_t InputGuard::CountLingering() const {
  return static_cast<size_t>(std::count_if(
      connections_.begin(), connections_.end(),
      [](const auto& item) { return item.second->is_lingering(); }));
}

void InputGuard::CheckLater(bufferevent* bufev) {
  to_check_.push_back(bufev);
  if (to_check_.size() == 1) {
    event_active(check_event_, EV_TIMEOUT, 1);
  }
}

void InputGuard::OnCheck(int /*fd*/, short /*what*/, void* self) {
  auto* const guard = static_cast<InputGuard*>(self);
  for (bufferevent* const bufev : std::exchange(guard->to_check_, {})) {
    const auto found = guard->connections_.find(bufev);
    if (found == guard->connections_.end()) {
      continue;
    }
    found->second->EndIfDropped();
    found->second->LingerIfEnded();
    if (found->second->IsOver()) {
      guard->connections_.erase(found);
    }
  }
}

TimePoint InputGuard::Now() const {
  return loop_->clock().Now();
}

}  // namespace dragonflytack
