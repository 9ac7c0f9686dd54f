#include "support/pipelined_connection.h"

#include <arpa/inet.h>

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <string_view>
#include <utility>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/util.h>

#include "dragonflytack/base/timeval.h"

namespace dragonflytack {

namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kHeadEnd = "\r\n\r\n";

std::map<std::string, std::string> ParseHeaders(std::string_view head) {
  std::map<std::string, std::string> headers;
  size_t at = head.find(kLineEnd);
  while (at != std::string_view::npos) {
    const size_t begin = at + kLineEnd.size();
    at = head.find(kLineEnd, begin);
    const std::string_view line = head.substr(begin, at - begin);
    const size_t colon = line.find(':');
    if (colon != std::string_view::npos) {
      std::string name(line.substr(0, colon));
      std::transform(name.begin(), name.end(), name.begin(),
                     [](unsigned char c) { return std::tolower(c); });
      const size_t value =
          std::min(line.find_first_not_of(' ', colon + 1), line.size());
      headers[name] = line.substr(value);
    }
  }
  return headers;
}

}  // namespace

std::string PipelinedConnection::Response::Header(
    const std::string& name) const {
  const auto found = headers.find(name);
  return found == headers.end() ? std::string() : found->second;
}

PipelinedConnection::PipelinedConnection(event_base* base,
                                         const HostPort& server,
                                         std::chrono::milliseconds timeout)
    : bufev_(bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE)),
      timeout_(timeout) {
  bufferevent_setcb(bufev_, &PipelinedConnection::OnInput, nullptr,
                    &PipelinedConnection::OnEvent, this);
  bufferevent_enable(bufev_, EV_READ | EV_WRITE);
  sockaddr_storage address{};
  int length = sizeof(address);
  if (evutil_parse_sockaddr_port(server.ToString().c_str(),
                                 reinterpret_cast<sockaddr*>(&address),
                                 &length) != 0 ||
      bufferevent_socket_connect(bufev_, reinterpret_cast<sockaddr*>(&address),
                                 length) != 0) {
    ended_ = true;
  }
}

PipelinedConnection::~PipelinedConnection() {
  bufferevent_free(bufev_);
}

void PipelinedConnection::Send(const std::string& request, Callback callback) {
  pending_.push_back(std::move(callback));
  const timeval timeout = ToTimeval(timeout_);
  bufferevent_set_timeouts(bufev_, &timeout, nullptr);
  bufferevent_write(bufev_, request.data(), request.size());
  if (ended_) {
    bufferevent_trigger_event(bufev_, BEV_EVENT_ERROR,
                              BEV_TRIG_DEFER_CALLBACKS);
  }
}

void PipelinedConnection::OnInput(bufferevent* /*bufev*/, void* self) {
  auto* const connection = static_cast<PipelinedConnection*>(self);
  Response response;
  while (!connection->closed_by_response_ && !connection->pending_.empty() &&
         connection->TakeResponse(&response)) {
    const Callback callback = std::move(connection->pending_.front());
    connection->pending_.pop_front();
    if (connection->pending_.empty()) {
      bufferevent_set_timeouts(connection->bufev_, nullptr, nullptr);
    }
    connection->closed_by_response_ = connection->ended_ =
        response.Header("connection") == "close";
    callback(std::exchange(response, {}));
  }
  if (connection->closed_by_response_) {
    connection->End();
  }
}

void PipelinedConnection::OnEvent(bufferevent* /*bufev*/,
                                  short what,
                                  void* self) {
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)) != 0) {
    static_cast<PipelinedConnection*>(self)->End();
  }
}

bool PipelinedConnection::TakeResponse(Response* response) {
  evbuffer* const input = bufferevent_get_input(bufev_);
  const size_t size = evbuffer_get_length(input);
  const std::string_view text(
      reinterpret_cast<const char*>(evbuffer_pullup(input, -1)), size);
  const size_t end = text.find(kHeadEnd);
  constexpr size_t kStatusAt = std::string_view("HTTP/1.1 ").size();
  if (end == std::string_view::npos || end < kStatusAt) {
    return false;
  }
  response->headers = ParseHeaders(text.substr(0, end));
  const size_t length =
      std::strtoul(response->Header("content-length").c_str(), nullptr, 10);
  const size_t total = end + kHeadEnd.size() + length;
  if (size < total) {
    return false;
  }
  response->status = std::atoi(std::string(text.substr(kStatusAt, 3)).c_str());
  response->body = text.substr(end + kHeadEnd.size(), length);
  evbuffer_drain(input, total);
  return true;
}

void PipelinedConnection::End() {
  ended_ = true;
  bufferevent_disable(bufev_, EV_READ | EV_WRITE);
  Response response;
  response.is_behind_close = closed_by_response_;
  for (const Callback& callback : std::exchange(pending_, {})) {
    callback(response);
  }
}

}  // namespace dragonflytack
