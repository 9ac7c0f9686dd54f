#include "base/input_guard.h"

#include <arpa/inet.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/listener.h>
#include <fmt/format.h>

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

// A peer that reads slowly makes progress more often than this, and one that
// has read everything closes the connection sooner.
constexpr Milliseconds kMaxLingerPause{2'000};
// Bounds how long a peer that acknowledges a few bytes at a time can keep the
// connection open.
constexpr Milliseconds kMaxLinger{30'000};
// Bounds how much a peer can make the process read after the last response.
constexpr size_t kMaxLingerBytes = 1 << 20;

std::string PeerOf(int fd) {
  sockaddr_storage storage{};
  socklen_t size = sizeof(storage);
  char text[INET6_ADDRSTRLEN] = {};
  if (getpeername(fd, reinterpret_cast<sockaddr*>(&storage), &size) != 0) {
    return "";
  }
  if (storage.ss_family == AF_INET6) {
    inet_ntop(AF_INET6, &reinterpret_cast<sockaddr_in6&>(storage).sin6_addr,
              text, sizeof(text));
  } else {
    inet_ntop(AF_INET, &reinterpret_cast<sockaddr_in&>(storage).sin_addr, text,
              sizeof(text));
  }
  return text;
}

// Sends a refusal with these headers; nothing if there are none.
void SendRefusal(int fd, DropCause cause, const std::string& headers) {
  if (headers.empty()) {
    return;
  }
  const bool timed_out =
      cause == DropCause::kHeadTimeout || cause == DropCause::kBodyTimeout;
  const std::string head = fmt::format(
      "HTTP/1.1 {}\r\n{}Connection: close\r\nContent-Length: 0\r\n\r\n",
      timed_out ? "408 Request Timeout" : "503 Service Unavailable", headers);
  send(fd, head.data(), head.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
}

void Discard(bufferevent* bufev, void* /*connection*/) {
  evbuffer* const input = bufferevent_get_input(bufev);
  evbuffer_drain(input, evbuffer_get_length(input));
}

}  // namespace

// The order in which connections are dropped at the limit of their number,
// beginning with those whose loss costs least.
enum class InputGuard::DropOrder {
  kLingering,
  kNotServed,
  kServed,
  kNotReading,
  kNever
};

// A connection of the server. It holds a reference to the bufferevent, because
// evhttp does not report the end of a connection without a request. evhttp
// clears the callbacks of a bufferevent that it frees.
class InputGuard::Connection final : public InputSender {
 public:
  Connection(InputGuard* guard, bufferevent* bufev)
      : InputSender(guard->ledger_, guard->Now()),
        guard_(guard),
        bufev_(bufev) {
    bufferevent_incref(bufev_);
    evbuffer_add_cb(bufferevent_get_input(bufev_), &Connection::OnInput, this);
    evbuffer_add_cb(bufferevent_get_output(bufev_), &Connection::OnOutput,
                    this);
    SetReadAhead(guard_->options_.bounds_requests);
  }

  ~Connection() override {
    evbuffer_remove_cb(bufferevent_get_input(bufev_), &Connection::OnInput,
                       this);
    evbuffer_remove_cb(bufferevent_get_output(bufev_), &Connection::OnOutput,
                       this);
    bufferevent_decref(bufev_);
  }

  // Whether the connection is over, for evhttp as well as for the guard.
  bool IsOver() const {
    return is_lingering_ ? is_linger_over_ : IsEnded() && !CanLinger();
  }

  bool is_lingering() const { return is_lingering_; }

  DropOrder FindDropOrder(TimePoint now) const {
    if (is_lingering_) {
      return DropOrder::kLingering;
    }
    if (phase() == InputPhase::kIdle || IsReceiving()) {
      return served() ? DropOrder::kServed : DropOrder::kNotServed;
    }
    return phase() == InputPhase::kResponding &&
                   now - last_progress() >= InputLedger::kReaderStalled
               ? DropOrder::kNotReading
               : DropOrder::kNever;
  }

  // Begins to linger if evhttp has ended the connection and the peer has not.
  void LingerIfEnded() {
    if (is_lingering_ || !IsEnded() || !CanLinger()) {
      return;
    }
    Release();
    is_lingering_ = true;
    linger_start_ = linger_progress_ = guard_->Now();
    shutdown(bufferevent_getfd(bufev_), SHUT_WR);
    bufferevent_setwatermark(bufev_, EV_READ, 0, 0);
    bufferevent_setcb(bufev_, &Connection::OnLingerInput, nullptr,
                      &Connection::OnLingerEvent, this);
    bufferevent_enable(bufev_, EV_READ);
  }

  // Ends the lingering of a peer that makes no progress.
  void CheckLinger(TimePoint now) {
    if (!is_lingering_) {
      return;
    }
    int unsent = 0;
    if (ioctl(bufferevent_getfd(bufev_), SIOCOUTQ, &unsent) == 0 &&
        unsent != linger_unsent_) {
      linger_unsent_ = unsent;
      linger_progress_ = now;
    }
    is_linger_over_ |= now - linger_progress_ > kMaxLingerPause ||
                       now - linger_start_ > kMaxLinger;
  }

  bool IsEnded() const {
    if (is_lingering_) {
      return true;
    }
    bufferevent_event_cb on_event = nullptr;
    bufferevent_getcb(bufev_, nullptr, nullptr, &on_event, nullptr);
    return on_event == nullptr;
  }

  void Drop(DropCause cause) override {
    if (std::exchange(dropped_, true)) {
      return;
    }
    // Its memory is counted no longer, so it must be free before more bytes
    // arrive.
    guard_->CheckLater(bufev_);
    if (IsEnded()) {
      Release();
      is_linger_over_ = true;
      return;
    }
    const int fd = bufferevent_getfd(bufev_);
    guard_->on_dropped_({cause, PeerOf(fd), bytes()});
    // evhttp gets no more bytes, so the request cannot be handled any more.
    bufferevent_data_cb on_write = nullptr;
    bufferevent_event_cb on_event = nullptr;
    void* argument = nullptr;
    bufferevent_getcb(bufev_, nullptr, &on_write, &on_event, &argument);
    bufferevent_setcb(bufev_, &Discard, on_write, on_event, argument);
    if (IsReceiving() && !has_written_) {
      SendRefusal(fd, cause, guard_->options_.refusal_headers);
    }
    shutdown(fd, SHUT_RDWR);
    Release();
  }

  // Frees the memory of a dropped connection and has evhttp end it now. Unread
  // bytes would delay the end of the stream, and evhttp would keep the body.
  // Must not be called from within callbacks of the connection.
  void EndIfDropped() {
    if (!dropped()) {
      return;
    }
    evbuffer* const input = bufferevent_get_input(bufev_);
    evbuffer_drain(input, evbuffer_get_length(input));
    if (!IsEnded()) {
      bufferevent_trigger_event(bufev_, BEV_EVENT_READING | BEV_EVENT_EOF, 0);
    }
  }

  // A complete request was delivered.
  void OnRequest() {
    Enter(InputPhase::kHandling, guard_->Now());
    SetReadAhead(true);
  }

 private:
  // Whether the peer may still send or read. Dropped connections are shut down
  // in both directions.
  bool CanLinger() const {
    if (dropped() || !(served() || has_written_)) {
      return false;
    }
    char byte = 0;
    const ssize_t size = recv(bufferevent_getfd(bufev_), &byte, sizeof(byte),
                              MSG_PEEK | MSG_DONTWAIT);
    return size > 0 || (size < 0 && (errno == EAGAIN || errno == EINTR));
  }

  static void OnLingerInput(bufferevent* bufev, void* self) {
    auto* const connection = static_cast<Connection*>(self);
    evbuffer* const input = bufferevent_get_input(bufev);
    connection->linger_bytes_ += evbuffer_get_length(input);
    evbuffer_drain(input, evbuffer_get_length(input));
    if (connection->linger_bytes_ > kMaxLingerBytes) {
      connection->EndLinger();
    }
  }

  static void OnLingerEvent(bufferevent* /*bufev*/, short what, void* self) {
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
      static_cast<Connection*>(self)->EndLinger();
    }
  }

  void EndLinger() {
    is_linger_over_ = true;
    guard_->CheckLater(bufev_);
  }

  bool IsReceiving() const {
    return phase() == InputPhase::kHead || phase() == InputPhase::kBody;
  }

  void SetReadAhead(bool limited) {
    bufferevent_setwatermark(bufev_, EV_READ, 0,
                             limited ? guard_->options_.read_ahead_bytes : 0);
  }

  static void OnInput(evbuffer* buffer,
                      const evbuffer_cb_info* info,
                      void* self) {
    auto* const connection = static_cast<Connection*>(self);
    if (info->n_added > 0 && !connection->dropped() &&
        !connection->is_lingering_) {
      connection->HandleInput(buffer, info->orig_size, info->n_added);
    }
  }

  static void OnOutput(evbuffer* buffer,
                       const evbuffer_cb_info* info,
                       void* self) {
    auto* const connection = static_cast<Connection*>(self);
    if (!connection->dropped()) {
      connection->HandleOutput(buffer, *info);
    }
  }

  void HandleInput(evbuffer* buffer, size_t offset, size_t size) {
    const TimePoint now = guard_->Now();
    if (phase() == InputPhase::kIdle) {
      BeginHead(now);
    }
    if (phase() == InputPhase::kHead) {
      ScanHead(buffer, offset, size, now);
    }
    ledger_->Received(this, size, now);
    if (!dropped() && phase() == InputPhase::kHead &&
        head_bytes_ > guard_->options_.max_head_bytes) {
      Drop(DropCause::kHeadTooLarge);
    }
  }

  // Returns whether evhttp has added the interim response 100, which it sends
  // while it waits for a body. Otherwise it refuses the request by itself.
  static bool IsInterim(evbuffer* buffer, size_t offset) {
    constexpr std::string_view kContinue = "HTTP/1.1 100";
    char start[kContinue.size()] = {};
    evbuffer_ptr begin;
    evbuffer_ptr_set(buffer, &begin, offset, EVBUFFER_PTR_SET);
    evbuffer_copyout_from(buffer, &begin, start, sizeof(start));
    return std::string_view(start, sizeof(start)).ends_with(" 100");
  }

  void HandleOutput(evbuffer* buffer, const evbuffer_cb_info& info) {
    const TimePoint now = guard_->Now();
    if (info.n_added > 0) {
      if (phase() == InputPhase::kHandling ||
          (IsReceiving() && !IsInterim(buffer, info.orig_size))) {
        Enter(InputPhase::kResponding, now);
      }
      has_written_ = true;
      unsent_bytes_ += info.n_added;
      ledger_->Received(this, info.n_added, now);
    }
    if (info.n_deleted > 0) {
      const size_t sent = std::min(info.n_deleted, unsent_bytes_);
      unsent_bytes_ -= sent;
      Remove(sent);
      last_progress_ = now;
      if (phase() == InputPhase::kResponding &&
          evbuffer_get_length(buffer) == 0) {
        EndRequest(now);
      }
    }
  }

  // The response is written. Bytes of further requests may have arrived.
  void EndRequest(TimePoint now) {
    served_ = true;
    Release();
    Enter(InputPhase::kIdle, now);
    evbuffer* const input = bufferevent_get_input(bufev_);
    if (const size_t size = evbuffer_get_length(input); size > 0) {
      BeginHead(now);
      Hold(size);
      ScanHead(input, 0, size, now);
    }
    SetReadAhead(guard_->options_.bounds_requests);
    guard_->CheckLater(bufev_);
  }

  void BeginHead(TimePoint now) {
    Enter(InputPhase::kHead, now);
    head_bytes_ = 0;
    has_text_ = false;
    line_has_text_ = false;
    has_written_ = false;
  }

  // Looks for the empty line after the head in bytes that have arrived.
  void ScanHead(evbuffer* buffer, size_t offset, size_t size, TimePoint now) {
    evbuffer_ptr begin;
    if (evbuffer_ptr_set(buffer, &begin, offset, EVBUFFER_PTR_SET) != 0) {
      return;
    }
    const int count = evbuffer_peek(buffer, static_cast<ev_ssize_t>(size),
                                    &begin, nullptr, 0);
    std::vector<evbuffer_iovec> parts(static_cast<size_t>(std::max(count, 0)));
    evbuffer_peek(buffer, static_cast<ev_ssize_t>(size), &begin, parts.data(),
                  count);
    for (const evbuffer_iovec& part : parts) {
      const auto* const bytes = static_cast<const char*>(part.iov_base);
      for (size_t i = 0; i < part.iov_len; ++i) {
        ++head_bytes_;
        if (bytes[i] == '\n') {
          if (has_text_ && !line_has_text_) {
            Enter(InputPhase::kBody, now);
            return;
          }
          line_has_text_ = false;
        } else if (bytes[i] != '\r') {
          has_text_ = line_has_text_ = true;
        }
      }
    }
  }

  InputGuard* const guard_;
  bufferevent* const bufev_;
  size_t unsent_bytes_ = 0;
  // State of the head that is being received: whether it and its last line have
  // a character.
  size_t head_bytes_ = 0;
  bool has_text_ = false;
  bool line_has_text_ = false;
  // Whether evhttp has written since the head began: an interim response, or a
  // refusal of its own.
  bool has_written_ = false;
  bool is_lingering_ = false;
  bool is_linger_over_ = false;
  TimePoint linger_start_;
  // When the peer last acknowledged bytes while the connection lingers.
  TimePoint linger_progress_;
  size_t linger_bytes_ = 0;
  // Bytes that the peer had not acknowledged at the last check.
  int linger_unsent_ = 0;
};

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
    guard->connections_.emplace(bufev,
                                std::make_unique<Connection>(guard, bufev));
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
  Connection* victim = nullptr;
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
    on_dropped_({DropCause::kConnectionLimit, PeerOf(fd), 0});
    SendRefusal(fd, DropCause::kConnectionLimit, options_.refusal_headers);
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
