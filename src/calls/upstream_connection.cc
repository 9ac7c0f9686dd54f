#include "calls/upstream_connection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <algorithm>
#include <charconv>
#include <chrono>
#include <utility>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http_struct.h>

#include "base/http_connection_state.h"
#include "calls/http_headers.h"

namespace dragonflytack {

namespace {

// Longer than any deadline, because the exchange has its own timeout. It also
// limits how long evhttp keeps an idle connection.
constexpr int kInactivityTimeoutSeconds = 120;

// Limits the memory for the identifiers of refused calls. At this number of
// refusals the connection is replaced.
constexpr size_t kMaxRefusedCalls = 256;

// Returns whether the framing proves that the response is complete. evhttp
// delivers a response without a length only if the connection was closed
// cleanly, which ends the response (RFC 9112 section 6.3); after a reset it
// reports an error.
bool IsComplete(evhttp_request* response) {
  const int status = evhttp_request_get_response_code(response);
  if (evhttp_request_get_command(response) == EVHTTP_REQ_HEAD ||
      status == 204 || status == 304) {
    return true;
  }
  const evkeyvalq* headers = evhttp_request_get_input_headers(response);
  // evhttp reads the first of two lengths, which may be the wrong one.
  if (HasSeveralValues(headers, "Content-Length")) {
    return false;
  }
  const std::optional<int64_t> length = FindNumber(headers, "Content-Length");
  if (!FindHeader(headers, "Transfer-Encoding").empty()) {
    return response->chunked != 0;
  }
  return FindHeader(headers, "Content-Length").empty() ||
         (length.has_value() &&
          static_cast<size_t>(*length) ==
              evbuffer_get_length(evhttp_request_get_input_buffer(response)));
}

// Reads "timeout=N", in seconds, from the header Keep-Alive.
std::optional<Milliseconds> ReadKeepAliveTimeout(const evkeyvalq* headers) {
  constexpr std::string_view kTimeout = "timeout=";
  const std::string_view value = FindHeader(headers, "Keep-Alive");
  const size_t at = value.find(kTimeout);
  if (at == std::string_view::npos) {
    return std::nullopt;
  }
  int seconds = 0;
  const char* const begin = value.data() + at + kTimeout.size();
  const auto [end, error] =
      std::from_chars(begin, value.data() + value.size(), seconds);
  return error == std::errc() && seconds >= 0
             ? std::optional<Milliseconds>(std::chrono::seconds(seconds))
             : std::nullopt;
}

bool AllowsReuse(evhttp_request* response) {
  return response->major == 1 && response->minor >= 1 &&
         !ListContains(FindHeader(evhttp_request_get_input_headers(response),
                                  "Connection"),
                       "close");
}

// An unreachable peer is detected only by missing acknowledgements. Between the
// most distant hosts, bytes are acknowledged within 16 ms, or within a second
// if two or three packets are lost.
void SetSocketOptions(int fd) {
  const int on = 1;
  const int ack_timeout_ms = 1000;
  const int probe_after_s = 1;
  const int probe_period_s = 1;
  const int probes = 2;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ack_timeout_ms,
             sizeof(ack_timeout_ms));
  setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &probe_after_s,
             sizeof(probe_after_s));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &probe_period_s,
             sizeof(probe_period_s));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
}

}  // namespace

UpstreamConnection::UpstreamConnection(event_base* base,
                                       DeferredDeleter* deleter,
                                       const HostPort& to,
                                       const Events* events,
                                       BufferBudget* budget)
    : deleter_(deleter),
      events_(events),
      connection_(evhttp_connection_base_new(base,
                                             nullptr,
                                             to.address.c_str(),
                                             to.port)),
      received_(budget) {
  evhttp_connection_set_timeout(connection_, kInactivityTimeoutSeconds);
  evhttp_connection_set_max_headers_size(connection_, kMaxHeaderBytes);
  evhttp_connection_set_max_body_size(connection_, kMaxBodyBytes);
  evhttp_connection_set_closecb(connection_, &UpstreamConnection::OnClosed,
                                this);
  bufferevent* bufev = evhttp_connection_get_bufferevent(connection_);
  evbuffer_add_cb(bufferevent_get_output(bufev), &UpstreamConnection::OnOutput,
                  this);
  evbuffer_add_cb(bufferevent_get_input(bufev), &UpstreamConnection::OnInput,
                  this);
}

UpstreamConnection::~UpstreamConnection() {
  evhttp_connection_set_closecb(connection_, nullptr, nullptr);
  bufferevent* bufev = evhttp_connection_get_bufferevent(connection_);
  evbuffer_remove_cb(bufferevent_get_output(bufev),
                     &UpstreamConnection::OnOutput, this);
  evbuffer_remove_cb(bufferevent_get_input(bufev), &UpstreamConnection::OnInput,
                     this);
  evhttp_connection_free(connection_);
}

evhttp_request* UpstreamConnection::NewRequest() {
  evhttp_request* request =
      evhttp_request_new(&UpstreamConnection::OnResponse, this);
  evhttp_request_set_error_cb(request, &UpstreamConnection::OnError);
  evhttp_request_set_header_cb(request, &UpstreamConnection::OnHead);
  // evhttp frees a failed request before it calls the error callback, which
  // reads the request.
  evhttp_request_own(request);
  request_ = HttpRequestPtr(request, HttpRequestDeleter{deleter_});
  return request;
}

bool UpstreamConnection::Send(evhttp_request* request,
                              evhttp_cmd_type method,
                              const char* uri,
                              Exchange* exchange) {
  sent_ = false;
  too_large_ = false;
  limiter_.Begin(request);
  received_.Release();
  sending_ = true;
  // A connect that fails immediately is reported from within this call.
  const bool started =
      evhttp_make_request(connection_, request, method, uri) == 0 && sending_;
  sending_ = false;
  if (!started) {
    Retire();
    return false;
  }
  exchange_ = exchange;
  if (connected_) {
    ReadBeforeWriting(connection_);
  }
  return true;
}

void UpstreamConnection::OnExchangeTimeout() {
  exchange_ = nullptr;
  events_->on_timeout(this);
  Retire();
}

void UpstreamConnection::Abandon() {
  exchange_ = nullptr;
  Retire();
}

bool UpstreamConnection::IsStale() const {
  return dragonflytack::IsStale(connection_);
}

bool UpstreamConnection::HasRefused(uint64_t call) const {
  return std::find(refused_calls_.begin(), refused_calls_.end(), call) !=
         refused_calls_.end();
}

void UpstreamConnection::OnResponse(evhttp_request* request, void* self) {
  static_cast<UpstreamConnection*>(self)->HandleResponse(request);
}

int UpstreamConnection::OnHead(evhttp_request* /*request*/, void* self) {
  // evhttp fails the request if the result is negative.
  return static_cast<UpstreamConnection*>(self)->limiter_.AcceptHead() ? 0 : -1;
}

void UpstreamConnection::OnError(evhttp_request_error error, void* self) {
  auto* connection = static_cast<UpstreamConnection*>(self);
  connection->too_large_ = error == EVREQ_HTTP_DATA_TOO_LONG &&
                           connection->limiter_.IsBodyTooLarge();
}

void UpstreamConnection::OnClosed(evhttp_connection* /*connection*/,
                                  void* self) {
  auto* connection = static_cast<UpstreamConnection*>(self);
  // If an exchange is in progress, evhttp reports the failure of its request
  // next.
  if (connection->exchange_ == nullptr) {
    connection->Retire();
  }
}

void UpstreamConnection::OnOutput(evbuffer* /*buffer*/,
                                  const evbuffer_cb_info* info,
                                  void* self) {
  auto* connection = static_cast<UpstreamConnection*>(self);
  if (!connection->connected_ && info->n_added > 0) {
    // evhttp writes a request into the buffer once it is connected.
    connection->connected_ = true;
    SetSocketOptions(bufferevent_getfd(
        evhttp_connection_get_bufferevent(connection->connection_)));
  }
  // Bytes are removed from the buffer when they are written, but also when
  // evhttp discards them after a failure. In the latter case the request counts
  // as possibly sent although it was not, which is safe.
  if (info->n_deleted > 0) {
    connection->sent_ = true;
  }
}

void UpstreamConnection::OnInput(evbuffer* buffer,
                                 const evbuffer_cb_info* info,
                                 void* self) {
  auto* connection = static_cast<UpstreamConnection*>(self);
  if (connection->exchange_ == nullptr || info->n_added == 0) {
    return;
  }
  if (!connection->sent_) {
    // The peer sent these bytes without the request, which must not be written
    // any more.
    bufferevent_disable(
        evhttp_connection_get_bufferevent(connection->connection_), EV_WRITE);
    connection->EndExchange(ExchangeOutcome::kStaleConnection);
  } else if (!connection->limiter_.AcceptInput(buffer, *info)) {
    connection->EndExchange(ExchangeOutcome::kBroken);
  } else if (!connection->received_.Add(info->n_added)) {
    connection->EndExchange(ExchangeOutcome::kOverBudget);
  }
}

void UpstreamConnection::EndExchange(ExchangeOutcome outcome) {
  // evhttp may still report the end of the request before the pool deletes the
  // connection.
  Exchange* exchange = std::exchange(exchange_, nullptr);
  Retire();
  exchange->Finish(outcome, nullptr);
}

void UpstreamConnection::HandleResponse(evhttp_request* request) {
  received_.Release();
  // The next request may begin in the callbacks below.
  HttpRequestPtr owned_request = std::move(request_);
  Exchange* exchange = std::exchange(exchange_, nullptr);
  if (exchange == nullptr) {
    sending_ = false;
    Retire();
    return;
  }
  if (request == nullptr || evhttp_request_get_response_code(request) == 0) {
    Retire();
    ExchangeOutcome outcome =
        sent_ ? ExchangeOutcome::kBroken : ExchangeOutcome::kNotSent;
    exchange->Finish(too_large_ ? ExchangeOutcome::kTooLarge : outcome,
                     nullptr);
    return;
  }
  if (!IsComplete(request)) {
    Retire();
    exchange->Finish(ExchangeOutcome::kBroken, nullptr);
    return;
  }
  const ResponseVerdict verdict = exchange->Validate(request);
  if (verdict == ResponseVerdict::kMismatched) {
    Retire();
    exchange->Finish(ExchangeOutcome::kMismatched, nullptr);
    return;
  }
  if (verdict == ResponseVerdict::kRefused && exchange->identity_.call) {
    refused_calls_.push_back(*exchange->identity_.call);
  }
  bufferevent* bufev = evhttp_connection_get_bufferevent(connection_);
  keep_alive_timeout_ =
      ReadKeepAliveTimeout(evhttp_request_get_input_headers(request));
  if (!retired_ && AllowsReuse(request) &&
      refused_calls_.size() < kMaxRefusedCalls &&
      evbuffer_get_length(bufferevent_get_input(bufev)) == 0) {
    events_->on_idle(this);
  } else {
    Retire();
  }
  exchange->Finish(ExchangeOutcome::kCompleted, std::move(owned_request));
}

void UpstreamConnection::Retire() {
  if (!retired_) {
    retired_ = true;
    received_.Release();
    events_->on_retired(this);
  }
}

}  // namespace dragonflytack
