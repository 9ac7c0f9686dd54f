#include "base/input_connection.h"

#include <arpa/inet.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <string_view>
#include <utility>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <fmt/format.h>

#include "base/buffer_view.h"
#include "base/input_guard.h"

namespace dragonflytack {

namespace {

// A peer that reads slowly makes progress more often than this, and one that
// has read everything closes the connection sooner.
constexpr Milliseconds kMaxLingerPause{2'000};
// Bounds how long a peer that acknowledges a few bytes at a time can keep the
// connection open.
constexpr Milliseconds kMaxLinger{30'000};
// Bounds how much a peer can make the process read after the last response.
constexpr size_t kMaxLingerBytes = 1 << 20;

// Returns whether evhttp has added the interim response 100, which it sends
// while it waits for a body. Otherwise it refuses the request by itself.
bool IsInterim(evbuffer* buffer, size_t offset) {
  constexpr std::string_view kContinue = "HTTP/1.1 100";
  char start[kContinue.size()] = {};
  evbuffer_ptr begin;
  evbuffer_ptr_set(buffer, &begin, offset, EVBUFFER_PTR_SET);
  evbuffer_copyout_from(buffer, &begin, start, sizeof(start));
  return std::string_view(start, sizeof(start)).ends_with(" 100");
}

}  // namespace

InputConnection::InputConnection(InputGuard* guard, bufferevent* bufev)
    : InputSender(guard->ledger_, guard->Now()), guard_(guard), bufev_(bufev) {
  bufferevent_incref(bufev_);
  evbuffer_add_cb(bufferevent_get_input(bufev_), &InputConnection::OnInput,
                  this);
  evbuffer_add_cb(bufferevent_get_output(bufev_), &InputConnection::OnOutput,
                  this);
  SetReadAhead(guard_->options_.bounds_requests);
}

InputConnection::~InputConnection() {
  evbuffer_remove_cb(bufferevent_get_input(bufev_), &InputConnection::OnInput,
                     this);
  evbuffer_remove_cb(bufferevent_get_output(bufev_), &InputConnection::OnOutput,
                     this);
  bufferevent_decref(bufev_);
}

bool InputConnection::IsOver() const {
  return is_lingering_ ? is_linger_over_ : IsEnded() && !CanLinger();
}

DropOrder InputConnection::FindDropOrder(TimePoint now) const {
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

void InputConnection::LingerIfEnded() {
  if (is_lingering_ || !IsEnded() || !CanLinger()) {
    return;
  }
  Release();
  is_lingering_ = true;
  linger_start_ = linger_progress_ = guard_->Now();
  shutdown(bufferevent_getfd(bufev_), SHUT_WR);
  bufferevent_setwatermark(bufev_, EV_READ, 0, 0);
  bufferevent_setcb(bufev_, &InputConnection::OnLingerInput, nullptr,
                    &InputConnection::OnLingerEvent, this);
  bufferevent_enable(bufev_, EV_READ);
}

void InputConnection::CheckLinger(TimePoint now) {
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

bool InputConnection::IsEnded() const {
  if (is_lingering_) {
    return true;
  }
  bufferevent_event_cb on_event = nullptr;
  bufferevent_getcb(bufev_, nullptr, nullptr, &on_event, nullptr);
  return on_event == nullptr;
}

void InputConnection::Drop(DropCause cause) {
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
  guard_->on_dropped_({cause, FindPeer(fd), bytes()});
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

void InputConnection::EndIfDropped() {
  if (!dropped()) {
    return;
  }
  evbuffer* const input = bufferevent_get_input(bufev_);
  evbuffer_drain(input, evbuffer_get_length(input));
  if (!IsEnded()) {
    bufferevent_trigger_event(bufev_, BEV_EVENT_READING | BEV_EVENT_EOF, 0);
  }
}

void InputConnection::OnRequest() {
  Enter(InputPhase::kHandling, guard_->Now());
  SetReadAhead(true);
}

bool InputConnection::CanLinger() const {
  if (dropped() || !(served() || has_written_)) {
    return false;
  }
  char byte = 0;
  const ssize_t size = recv(bufferevent_getfd(bufev_), &byte, sizeof(byte),
                            MSG_PEEK | MSG_DONTWAIT);
  return size > 0 || (size < 0 && (errno == EAGAIN || errno == EINTR));
}

void InputConnection::OnLingerInput(bufferevent* bufev, void* self) {
  auto* const connection = static_cast<InputConnection*>(self);
  evbuffer* const input = bufferevent_get_input(bufev);
  connection->linger_bytes_ += evbuffer_get_length(input);
  evbuffer_drain(input, evbuffer_get_length(input));
  if (connection->linger_bytes_ > kMaxLingerBytes) {
    connection->EndLinger();
  }
}

void InputConnection::OnLingerEvent(bufferevent* /*bufev*/,
                                    short what,
                                    void* self) {
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
    static_cast<InputConnection*>(self)->EndLinger();
  }
}

void InputConnection::EndLinger() {
  is_linger_over_ = true;
  guard_->CheckLater(bufev_);
}

bool InputConnection::IsReceiving() const {
  return phase() == InputPhase::kHead || phase() == InputPhase::kBody;
}

void InputConnection::SetReadAhead(bool limited) {
  bufferevent_setwatermark(bufev_, EV_READ, 0,
                           limited ? guard_->options_.read_ahead_bytes : 0);
}

void InputConnection::OnInput(evbuffer* buffer,
                              const evbuffer_cb_info* info,
                              void* self) {
  auto* const connection = static_cast<InputConnection*>(self);
  if (info->n_added > 0 && !connection->dropped() &&
      !connection->is_lingering_) {
    connection->HandleInput(buffer, info->orig_size, info->n_added);
  }
}

void InputConnection::OnOutput(evbuffer* buffer,
                               const evbuffer_cb_info* info,
                               void* self) {
  auto* const connection = static_cast<InputConnection*>(self);
  if (!connection->dropped()) {
    connection->HandleOutput(buffer, *info);
  }
}

void InputConnection::HandleInput(evbuffer* buffer,
                                  size_t offset,
                                  size_t size) {
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

void InputConnection::HandleOutput(evbuffer* buffer,
                                   const evbuffer_cb_info& info) {
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

void InputConnection::EndRequest(TimePoint now) {
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

void InputConnection::BeginHead(TimePoint now) {
  Enter(InputPhase::kHead, now);
  head_bytes_ = 0;
  has_text_ = false;
  line_has_text_ = false;
  has_written_ = false;
}

void InputConnection::ScanHead(evbuffer* buffer,
                               size_t offset,
                               size_t size,
                               TimePoint now) {
  for (const std::string_view part : ViewBytes(buffer, offset, size)) {
    for (const char next : part) {
      ++head_bytes_;
      if (next == '\n') {
        if (has_text_ && !line_has_text_) {
          Enter(InputPhase::kBody, now);
          return;
        }
        line_has_text_ = false;
      } else if (next != '\r') {
        has_text_ = line_has_text_ = true;
      }
    }
  }
}

std::string InputConnection::FindPeer(int fd) {
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

void InputConnection::SendRefusal(int fd,
                                  DropCause cause,
                                  const std::string& headers) {
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

void InputConnection::Discard(bufferevent* bufev, void* /*self*/) {
  evbuffer* const input = bufferevent_get_input(bufev);
  evbuffer_drain(input, evbuffer_get_length(input));
}

}  // namespace dragonflytack
