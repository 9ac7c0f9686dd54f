#include "net/http_connection.h"

#include <algorithm>
#include <cassert>
#include <cctype>
#include <limits>
#include <utility>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include "base/http_connection_state.h"
#include "dragonflytack/base/event_loop.h"

namespace dragonflytack {

namespace {

constexpr int kNoContent = 204;
// Limit of each head and of the trailers; evhttp has none by default. No peer
// sends more than a few short headers.
constexpr ev_ssize_t kMaxHeaderBytes = 65'536;

evhttp_cmd_type ToEvhttpCommand(const std::string& method) {
  static const std::map<std::string, evhttp_cmd_type> kCommands = {
      {"GET", EVHTTP_REQ_GET},
      {"PUT", EVHTTP_REQ_PUT},
      {"POST", EVHTTP_REQ_POST},
      {"DELETE", EVHTTP_REQ_DELETE},
  };
  return kCommands.at(method);
}

std::string TakeBody(evhttp_request* request) {
  evbuffer* input = evhttp_request_get_input_buffer(request);
  std::string body(evbuffer_get_length(input), '\0');
  evbuffer_remove(input, body.data(), body.size());
  return body;
}

HttpResponse ReadResponse(evhttp_request* request) {
  HttpResponse response;
  response.status = evhttp_request_get_response_code(request);
  const evkeyvalq* headers = evhttp_request_get_input_headers(request);
  for (const evkeyval* header = headers->tqh_first; header != nullptr;
       header = header->next.tqe_next) {
    std::string name = header->key;
    std::transform(name.begin(), name.end(), name.begin(), [](char letter) {
      return static_cast<char>(
          std::tolower(static_cast<unsigned char>(letter)));
    });
    response.headers[std::move(name)] = header->value;
  }
  response.body = TakeBody(request);
  // evhttp accepts a truncated response without a Content-Length as complete.
  const auto length = response.headers.find("content-length");
  const bool is_complete =
      response.status == kNoContent ||
      (length != response.headers.end() &&
       length->second == std::to_string(response.body.size()));
  response.outcome = is_complete ? HttpOutcome::kCompleted : HttpOutcome::kLost;
  return response;
}

}  // namespace

void HttpConnection::RequestDeleter::operator()(evhttp_request* request) const {
  evhttp_request_free(request);
}

HttpConnection::HttpConnection(EventLoop* loop,
                               HostPort peer,
                               size_t max_response_bytes)
    : loop_(loop),
      peer_(std::move(peer)),
      max_response_bytes_(max_response_bytes) {}

HttpConnection::~HttpConnection() {
  loop_->timers().Cancel(timeout_timer_);
  loop_->timers().Cancel(finish_timer_);
  Close();
}

void HttpConnection::Open() {
  connection_ = evhttp_connection_base_new(loop_->base(), nullptr,
                                           peer_.address.c_str(), peer_.port);
  assert(connection_ != nullptr);
  // 0 is also evhttp's default. It is set explicitly because a retry could
  // execute a write twice.
  evhttp_connection_set_retries(connection_, 0);
  // The timer of Send() limits the whole exchange. evhttp's timeout is disabled
  // because it restarts with each byte.
  evhttp_connection_set_timeout(connection_, std::numeric_limits<int>::max());
  evhttp_connection_set_max_headers_size(connection_, kMaxHeaderBytes);
  evhttp_connection_set_max_body_size(
      connection_, static_cast<ev_ssize_t>(max_response_bytes_));
  output_callback_ = evbuffer_add_cb(
      bufferevent_get_output(evhttp_connection_get_bufferevent(connection_)),
      &HttpConnection::OnOutput, this);
  input_callback_ = evbuffer_add_cb(
      bufferevent_get_input(evhttp_connection_get_bufferevent(connection_)),
      &HttpConnection::OnInput, this);
}

void HttpConnection::Close() {
  if (connection_ == nullptr) {
    return;
  }
  // libevent frees the buffers later, when this object may be destroyed.
  bufferevent* bufev = evhttp_connection_get_bufferevent(connection_);
  evbuffer_remove_cb_entry(bufferevent_get_output(bufev), output_callback_);
  evbuffer_remove_cb_entry(bufferevent_get_input(bufev), input_callback_);
  evhttp_connection_free(std::exchange(connection_, nullptr));
}

void HttpConnection::CloseIdle() {
  assert(!busy());
  Close();
}

void HttpConnection::Send(const HttpRequest& request,
                          Milliseconds timeout,
                          Callback callback) {
  assert(!busy());
  callback_ = std::move(callback);
  response_ = HttpResponse{};
  written_bytes_ = 0;
  sent_ = false;
  failure_ = HttpOutcome::kLost;
  finish_timer_ = 0;
  if (connection_ != nullptr && IsStale(connection_)) {
    Close();
  }
  const bool reused = connection_ != nullptr;
  if (!reused) {
    Open();
  }
  timeout_timer_ = loop_->timers().SubscribeOnce(timeout, [this] {
    loop_->timers().Cancel(finish_timer_);
    response_ = HttpResponse{};
    response_.outcome =
        written_bytes_ == 0 ? HttpOutcome::kNotSent : HttpOutcome::kTimeout;
    Finish();
  });

  evhttp_request* sent = evhttp_request_new(&HttpConnection::OnResponse, this);
  assert(sent != nullptr);
  // evhttp frees a failed request before it calls the error callback, which
  // reads the request.
  evhttp_request_own(sent);
  request_.reset(sent);
  evhttp_request_set_error_cb(sent, [](evhttp_request_error error, void* self) {
    auto* connection = static_cast<HttpConnection*>(self);
    if (error == EVREQ_HTTP_INVALID_HEADER ||
        error == EVREQ_HTTP_DATA_TOO_LONG) {
      connection->failure_ = error == EVREQ_HTTP_DATA_TOO_LONG &&
                                     connection->limiter_.IsBodyTooLarge()
                                 ? HttpOutcome::kTooLarge
                                 : HttpOutcome::kMalformed;
    }
  });
  evhttp_request_set_header_cb(sent, &HttpConnection::OnHead);
  limiter_.Begin(sent);
  evkeyvalq* headers = evhttp_request_get_output_headers(sent);
  evhttp_add_header(headers, "Host", peer_.ToString().c_str());
  for (const auto& [name, value] : request.headers) {
    evhttp_add_header(headers, name.c_str(), value.c_str());
  }
  evbuffer_add(evhttp_request_get_output_buffer(sent), request.body.data(),
               request.body.size());
  // On failure evhttp calls no callback.
  if (evhttp_make_request(connection_, sent, ToEvhttpCommand(request.method),
                          request.target.c_str()) != 0) {
    OnResponse(nullptr, this);
  } else if (reused) {
    ReadBeforeWriting(connection_);
  }
}

void HttpConnection::OnResponse(evhttp_request* request, void* self) {
  auto* connection = static_cast<HttpConnection*>(self);
  // evhttp_make_request() may both call back and return a failure.
  if (connection->finish_timer_ != 0) {
    return;
  }
  // If no connection was made, evhttp passes a request without a status.
  if (request != nullptr && evhttp_request_get_response_code(request) != 0) {
    connection->response_ = ReadResponse(request);
  } else if (connection->written_bytes_ == 0) {
    connection->response_.outcome = HttpOutcome::kNotSent;
  } else {
    connection->response_.outcome = connection->failure_;
  }
  connection->FinishLater();
}

int HttpConnection::OnHead(evhttp_request* /*request*/, void* self) {
  auto* connection = static_cast<HttpConnection*>(self);
  if (connection->limiter_.AcceptHead()) {
    return 0;
  }
  connection->failure_ = HttpOutcome::kMalformed;
  // evhttp fails the request if the result is negative.
  return -1;
}

void HttpConnection::OnOutput(evbuffer* /*buffer*/,
                              const evbuffer_cb_info* info,
                              void* self) {
  auto* connection = static_cast<HttpConnection*>(self);
  connection->written_bytes_ += info->n_added;
  connection->sent_ = connection->sent_ || info->n_deleted > 0;
}

void HttpConnection::OnInput(evbuffer* buffer,
                             const evbuffer_cb_info* info,
                             void* self) {
  auto* connection = static_cast<HttpConnection*>(self);
  if (!connection->busy() || connection->finish_timer_ != 0 ||
      info->n_added == 0) {
    return;
  }
  if (!connection->sent_) {
    // The peer sent these bytes without the request, which must not be written
    // any more.
    bufferevent_disable(
        evhttp_connection_get_bufferevent(connection->connection_), EV_WRITE);
    connection->response_.outcome = HttpOutcome::kStaleConnection;
    connection->FinishLater();
  } else if (!connection->limiter_.AcceptInput(buffer, *info)) {
    connection->response_.outcome = HttpOutcome::kMalformed;
    connection->FinishLater();
  }
}

void HttpConnection::FinishLater() {
  // evhttp still uses the connection after its callbacks, so it must not be
  // closed in them.
  finish_timer_ =
      loop_->timers().SubscribeOnce(Milliseconds(0), [this] { Finish(); });
}

void HttpConnection::Finish() {
  loop_->timers().Cancel(timeout_timer_);
  if (response_.outcome != HttpOutcome::kCompleted) {
    Close();
  }
  request_.reset();
  const Callback callback = std::exchange(callback_, nullptr);
  callback(std::move(response_));
  // The callback may have destroyed this object.
}

}  // namespace dragonflytack
