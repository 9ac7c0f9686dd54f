#include "calls/inbound_call.h"

#include <sys/socket.h>

#include <cerrno>
#include <string>
#include <utility>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <nlohmann/json.hpp>

#include "base/http_reply.h"
#include "calls/http_headers.h"
#include "calls/response_writes.h"
#include "onetime/recorded_response.h"

namespace dragonflytack {

namespace {

std::string RefusalBody(const CallResult& result) {
  return nlohmann::json{{"error", CallReasonName(result.reason)},
                        {"detail", result.detail}}
      .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

// Returns whether the end of the stream or an error of the socket has come from
// the peer. Otherwise the connection is still open at the peer.
bool IsClosedByPeer(evhttp_connection* connection) {
  const evutil_socket_t socket =
      bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
  char byte = 0;
  const ssize_t size = recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return size == 0 || (size < 0 && errno != EAGAIN && errno != EINTR);
}

}  // namespace

InboundCall::InboundCall(evhttp_request* request,
                         const CallHeaderCodec* header_codec,
                         std::function<void()> on_disconnect,
                         ResponseWrites* writes)
    : request_(request),
      header_codec_(header_codec),
      writes_(writes),
      connection_(evhttp_request_get_connection(request)),
      on_disconnect_(std::move(on_disconnect)) {
  evhttp_connection_set_closecb(connection_, &InboundCall::OnClosed, this);
  // evhttp stops reading while a response is pending and would not detect that
  // the peer closed the connection.
  bufferevent* bufev = evhttp_connection_get_bufferevent(connection_);
  // Limits the bytes that a caller can send in the meantime, unless InputGuard
  // does. evhttp collects complete bodies in this buffer, so a smaller limit
  // would block large requests that follow.
  size_t limit = 0;
  bufferevent_getwatermark(bufev, EV_READ, nullptr, &limit);
  if (limit == 0) {
    bufferevent_setwatermark(bufev, EV_READ, 0,
                             2 * (kMaxBodyBytes + kMaxHeaderBytes));
  }
  // evhttp ends the process if its read callback is called while a response is
  // pending. It sets its callbacks again when the response is sent, and then
  // reads the bytes that arrived in the meantime.
  bufferevent_data_cb on_write = nullptr;
  bufferevent_event_cb on_event = nullptr;
  void* argument = nullptr;
  bufferevent_getcb(bufev, nullptr, &on_write, &on_event, &argument);
  bufferevent_setcb(bufev, nullptr, on_write, on_event, argument);
  bufferevent_enable(bufev, EV_READ);
}

InboundCall::~InboundCall() {
  if (request_ != nullptr) {
    on_disconnect_ = nullptr;
    // The call may have been passed on.
    Reply(CallResult::Unknown(CallReason::kStopping, "the node is stopping"));
  }
}

void InboundCall::Reply(const CallResult& result) {
  evkeyvalq* headers = response_headers();
  evhttp_add_header(headers, kOutcomeHeader,
                    CallOutcomeName(result.outcome).data());
  if (result.retried) {
    evhttp_add_header(headers, kRetriedHeader, "1");
  }
  if (result.scope) {
    evhttp_add_header(headers, kScopeHeader,
                      *result.scope == NotRunScope::kKey ? "key" : "request");
  }
  if (!result.moved_to.empty()) {
    evhttp_add_header(headers, kMovedHeader, result.moved_to.c_str());
  }
  const int status = result.Status();
  if (result.recorded != nullptr) {
    for (const auto& [name, value] : result.recorded->headers) {
      evhttp_add_header(headers, name.c_str(), value.c_str());
    }
    Reply(status, result.recorded->body);
    return;
  }
  if (result.response != nullptr) {
    if (result.reason != CallReason::kNone) {
      evhttp_add_header(headers, kReasonHeader,
                        CallReasonName(result.reason).data());
    }
    const evkeyvalq* from =
        evhttp_request_get_input_headers(result.response.get());
    CopyEndToEndHeaders(*header_codec_, from, headers);
    if (evhttp_request_get_command(request_) == EVHTTP_REQ_HEAD) {
      // Content-Length of the corresponding GET; evhttp would write 0.
      const std::string_view length = FindHeader(from, "Content-Length");
      if (!length.empty()) {
        evhttp_add_header(headers, "Content-Length", length.data());
      }
    }
    Reply(status, evhttp_request_get_input_buffer(result.response.get()));
    return;
  }
  evhttp_add_header(headers, kReasonHeader,
                    CallReasonName(result.reason).data());
  evhttp_add_header(headers, "Content-Type", "application/json");
  Reply(status, RefusalBody(result));
}

void InboundCall::Reply(int status, const std::string& body) {
  evbuffer* buffer = evbuffer_new();
  evbuffer_add(buffer, body.data(), body.size());
  Reply(status, buffer);
  evbuffer_free(buffer);
}

void InboundCall::OnClosed(evhttp_connection* connection, void* self) {
  auto* call = static_cast<InboundCall*>(self);
  call->closed_by_peer_ = IsClosedByPeer(connection);
  call->connection_ = nullptr;
  const std::function<void()> on_disconnect =
      std::exchange(call->on_disconnect_, nullptr);
  if (on_disconnect) {
    on_disconnect();
  }
}

void InboundCall::Reply(int status, evbuffer* body) {
  on_disconnect_ = nullptr;
  if (connection_ != nullptr) {
    evhttp_connection_set_closecb(connection_, nullptr, nullptr);
    if (writes_ != nullptr) {
      writes_->Add(request_);
    }
  }
  // Without a connection this only frees the request.
  SendHttpReply(std::exchange(request_, nullptr), status, body);
}

}  // namespace dragonflytack
