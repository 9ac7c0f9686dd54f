#include "net/websocket_link.h"

#include <cstring>
#include <utility>

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/util.h>
#include <fmt/format.h>
#include <netinet/tcp.h>

#include "net/link_options.h"
#include "net/loopback.h"
#include "statechart/embedded_charts.h"

namespace dragonflytack {

namespace {

// Most bytes that are read from the socket before they are parsed. Limits the
// memory of a link, and prevents a busy link from starving the others.
constexpr size_t kReadAheadBytes = 65'536;
// Send queue limit until the link is up. A handshake sends less than 2 KB.
constexpr size_t kHandshakeQueueBytes = 65'536;
// Largest WebSocket header; a frame of a client includes a masking key.
constexpr size_t kMaxFrameHeaderBytes = 14;

bool ParseSocketAddress(const HostPort& peer,
                        sockaddr_storage* address,
                        int* size) {
  *size = sizeof(*address);
  return evutil_parse_sockaddr_port(peer.ToString().c_str(),
                                    reinterpret_cast<sockaddr*>(address),
                                    size) == 0;
}

}  // namespace

std::span<const ChartAction<WebSocketLink>> WebSocketLink::Actions() {
  static constexpr ChartAction<WebSocketLink> actions[] = {
      {"StartHandshakeTimer", &WebSocketLink::StartHandshakeTimer},
      {"StopHandshakeTimer", &WebSocketLink::StopHandshakeTimer},
      {"StartFailureTimer", &WebSocketLink::StartFailureTimer},
      {"StartWebSocket", &WebSocketLink::StartWebSocket},
      {"SendHello", &WebSocketLink::SendHello},
      {"SendProof", &WebSocketLink::SendProof},
      {"ReportUp", &WebSocketLink::ReportUp},
      {"ReportDown", &WebSocketLink::ReportDown},
      {"SendCloseFrame", &WebSocketLink::SendCloseFrame},
      {"StartLinger", &WebSocketLink::StartLinger},
      {"EndOutput", &WebSocketLink::EndOutput},
      {"Release", &WebSocketLink::Release},
  };
  return actions;
}

bool WebSocketLink::CheckChart(Failure* reason) {
  return ChartMachine<WebSocketLink>::CheckBinding(
      *FindEmbeddedChart("peer_link"), Actions(), reason);
}

WebSocketLink::WebSocketLink(LinkId id,
                             bool outgoing,
                             const HostPort& remote,
                             bufferevent* socket,
                             const LinkOptions& options,
                             TimerService* timers,
                             Delegate* delegate)
    : id_(id),
      outgoing_(outgoing),
      remote_(remote),
      socket_(socket),
      options_(options),
      timers_(timers),
      delegate_(delegate),
      machine_(FindEmbeddedChart("peer_link"), this, Actions()) {
  bufferevent_setcb(socket_, &WebSocketLink::OnReadable,
                    &WebSocketLink::OnWritten, &WebSocketLink::OnEvent, this);
  bufferevent_setwatermark(socket_, EV_READ, 0, kReadAheadBytes);
}

WebSocketLink::~WebSocketLink() {
  timers_->Cancel(timer_);
  session_.reset();
  bufferevent_free(socket_);
}

void WebSocketLink::Start() {
  if (machine_.is_final()) {
    return;  // Close() was called before Start().
  }
  machine_.Start();
  if (options_.shared_key.empty() && !options_.open_network &&
      !IsLoopback(remote_.address)) {
    Fail(FailureCode::kPeerRejected,
         "without a shared key only loopback peers are accepted");
    return;
  }
  if (!outgoing_) {
    machine_.Handle("connected");
    return;
  }
  sockaddr_storage address;
  int size = 0;
  if (!ParseSocketAddress(remote_, &address, &size) ||
      bufferevent_socket_connect(socket_, reinterpret_cast<sockaddr*>(&address),
                                 size) != 0) {
    Fail(FailureCode::kPeerUnreachable, "the socket cannot be connected");
  }
}

void WebSocketLink::Send(const std::string& frame) {
  // The state changes only after an action such as ReportUp(), which may send.
  if (!is_up() || reason_.code != FailureCode::kNone) {
    return;
  }
  if (frame.size() > options_.max_frame_bytes) {
    FailLater(
        FailureCode::kTooLarge,
        fmt::format("the frame to send is too large: {} bytes", frame.size()));
    return;
  }
  if (queued_bytes() + frame.size() + kMaxFrameHeaderBytes >
      options_.max_queue_bytes) {
    FailLater(FailureCode::kOverloaded,
              fmt::format("the send queue is full: {} bytes", queued_bytes()));
    return;
  }
  session_->Send(frame);
}

void WebSocketLink::Close() {
  closed_locally_ = true;
  down_reported_ = true;
  reason_ = {FailureCode::kCancelled, remote_.ToString(), "closed"};
  machine_.Handle("closed");
}

void WebSocketLink::Abort(const std::string& detail) {
  Fail(FailureCode::kOverloaded, detail);
  // A link that is closing waits for the peer.
  if (!machine_.is_final()) {
    machine_.Handle("failed");
  }
}

bool WebSocketLink::is_up() const {
  return machine_.state() == "up";
}

bool WebSocketLink::IsClosing() const {
  return state() == "closing" || state() == "lingering" || machine_.is_final();
}

size_t WebSocketLink::queued_bytes() const {
  return evbuffer_get_length(bufferevent_get_output(socket_));
}

void WebSocketLink::Flush() {
  evbuffer* const output = bufferevent_get_output(socket_);
  if (evbuffer_get_length(output) == 0) {
    return;
  }
  // A bufferevent keeps its output frozen except while it writes itself.
  evbuffer_unfreeze(output, 1);
  evbuffer_write(output, bufferevent_getfd(socket_));
  evbuffer_freeze(output, 1);
}

void WebSocketLink::OnReadable(bufferevent* socket, void* self) {
  auto* const link = static_cast<WebSocketLink*>(self);
  evbuffer* const input = bufferevent_get_input(socket);
  if (link->session_ == nullptr || link->IsClosing()) {
    evbuffer_drain(input, evbuffer_get_length(input));
    return;
  }
  while (const size_t size = evbuffer_get_contiguous_space(input)) {
    const auto* const data =
        reinterpret_cast<const char*>(evbuffer_pullup(input, size));
    link->received_bytes_ += size;
    link->session_->Read(data, size);
    evbuffer_drain(input, size);
  }
}

void WebSocketLink::OnWritten(bufferevent* /*socket*/, void* self) {
  auto* const link = static_cast<WebSocketLink*>(self);
  if (link->queued_bytes() == 0) {
    link->machine_.Handle("flushed");
  }
}

void WebSocketLink::OnEvent(bufferevent* socket, short what, void* self) {
  auto* const link = static_cast<WebSocketLink*>(self);
  const int error = EVUTIL_SOCKET_ERROR();
  if ((what & BEV_EVENT_CONNECTED) != 0) {
    link->machine_.Handle("connected");
    return;
  }
  // Bytes that arrived before the end of the stream may contain the peer's
  // close reason.
  OnReadable(socket, self);
  if ((what & BEV_EVENT_EOF) != 0) {
    link->Fail(FailureCode::kPeerUnreachable, "the peer closed the connection");
  } else {
    link->Fail(FailureCode::kPeerUnreachable,
               evutil_socket_error_to_string(error));
  }
}

void WebSocketLink::StartHandshakeTimer() {
  timer_ = timers_->SubscribeOnce(options_.handshake_timeout, [this] {
    Fail(FailureCode::kPeerUnreachable,
         "the handshake timed out in state " + state());
  });
}

void WebSocketLink::StopHandshakeTimer() {
  timers_->Cancel(timer_);
}

void WebSocketLink::StartFailureTimer() {
  timers_->Cancel(timer_);
  timer_ = timers_->SubscribeOnce(Milliseconds(0),
                                  [this] { machine_.Handle("failed"); });
}

void WebSocketLink::StartWebSocket() {
  const int enabled = 1;
  setsockopt(bufferevent_getfd(socket_), IPPROTO_TCP, TCP_NODELAY, &enabled,
             sizeof(enabled));
  bufferevent_enable(socket_, EV_READ | EV_WRITE);
  handshake_ = std::make_unique<LinkHandshake>(outgoing_, options_.shared_key);
  // Until the peer is authenticated, messages are limited to the size of
  // handshake messages.
  session_ =
      outgoing_ ? WebsocketppSession::MakeClient(
                      this, LinkHandshake::kMaxMessageBytes, remote_.ToString())
                : WebsocketppSession::MakeServer(
                      this, LinkHandshake::kMaxMessageBytes);
  if (session_ == nullptr) {
    Fail(FailureCode::kInternal, "the WebSocket session cannot be created");
    return;
  }
  session_->Start();
}

void WebSocketLink::SendHello() {
  session_->Send(handshake_->MakeHello(delegate_->SelfRecord()));
}

void WebSocketLink::SendProof() {
  session_->Send(handshake_->MakeProof());
}

void WebSocketLink::ReportUp() {
  session_->set_max_message_bytes(options_.max_frame_bytes);
  up_reported_ = true;
  delegate_->OnUp(this);
}

void WebSocketLink::ReportDown() {
  if (!std::exchange(down_reported_, true)) {
    delegate_->OnDown(this, reason_, up_reported_);
  }
}

void WebSocketLink::SendCloseFrame() {
  if (session_ != nullptr) {
    session_->Close(reason_.ToString());
  }
}

void WebSocketLink::StartLinger() {
  timers_->Cancel(timer_);
  timer_ = timers_->SubscribeOnce(options_.linger_timeout,
                                  [this] { machine_.Handle("lingered"); });
  if (queued_bytes() == 0) {
    machine_.Handle("flushed");
  }
}

void WebSocketLink::EndOutput() {
  shutdown(bufferevent_getfd(socket_), SHUT_WR);
}

void WebSocketLink::Release() {
  timers_->Cancel(timer_);
  bufferevent_disable(socket_, EV_READ | EV_WRITE);
  delegate_->OnReleased(this);
}

void WebSocketLink::OnWebSocketOpen() {
  machine_.Handle("opened");
}

void WebSocketLink::OnWebSocketMessage(const std::string& payload) {
  Failure reason;
  if (is_up()) {
    delegate_->OnFrame(this, payload);
  } else if (state() == "greeting") {
    if (handshake_->ProcessHello(payload, &reason)) {
      machine_.Handle("hello");
    } else {
      Fail(std::move(reason));
    }
  } else if (state() == "proving") {
    if (handshake_->VerifyProof(payload, &reason)) {
      machine_.Handle("proof");
    } else {
      Fail(std::move(reason));
    }
  }
}

void WebSocketLink::OnWebSocketWrite(const char* data, size_t size) {
  // Send() enforces the limit for frames. Responses to pings and handshake
  // messages are written by the session itself, so they are limited here.
  const size_t limit =
      up_reported_ ? options_.max_queue_bytes : kHandshakeQueueBytes;
  if (queued_bytes() + size > limit) {
    if (!IsClosing()) {
      FailLater(FailureCode::kOverloaded,
                "the send queue is full: the peer does not read");
    }
    return;
  }
  sent_bytes_ += size;
  bufferevent_write(socket_, data, size);
}

void WebSocketLink::OnWebSocketEnd(EndCause cause, const std::string& detail) {
  switch (cause) {
    case EndCause::kPeerClosed:
      Fail(is_up() ? FailureCode::kCancelled : FailureCode::kPeerRejected,
           "the peer closed the link: " + detail);
      return;
    case EndCause::kTooLarge:
      Fail(FailureCode::kTooLarge, detail);
      return;
    case EndCause::kProtocolError:
      Fail(FailureCode::kInvalidMessage, detail);
      return;
  }
}

void WebSocketLink::Fail(FailureCode code, const std::string& detail) {
  Fail(Failure{code, remote_.ToString(), detail});
}

void WebSocketLink::Fail(Failure reason) {
  SetReason(std::move(reason));
  machine_.Handle("failed");
}

void WebSocketLink::SetReason(Failure reason) {
  if (reason_.code == FailureCode::kNone) {
    reason_ = std::move(reason);
  }
}

void WebSocketLink::FailLater(FailureCode code, const std::string& detail) {
  SetReason({code, remote_.ToString(), detail});
  machine_.Handle("send_failed");
}

}  // namespace dragonflytack
