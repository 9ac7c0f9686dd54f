#include "soak_driver/pipelined_caller.h"

#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "calls/http_headers.h"
#include "dragonflytack/base/event_loop.h"

namespace dragonflytack {

namespace {

constexpr int kMinThinkMs = 20;
constexpr int kThinkRangeMs = 200;
// Some calls more than a node processes at once for one connection.
constexpr int kMaxCalls = 10;

}  // namespace

PipelinedCaller::PipelinedCaller(EventLoop* loop,
                                 Random* random,
                                 Options options,
                                 NewId new_id,
                                 Record record)
    : loop_(loop),
      random_(random),
      options_(std::move(options)),
      new_id_(std::move(new_id)),
      record_(std::move(record)) {
  Pause();
}

PipelinedCaller::~PipelinedCaller() {
  loop_->timers().Cancel(timer_);
}

void PipelinedCaller::Pause() {
  timer_ = loop_->timers().SubscribeOnce(
      Milliseconds(kMinThinkMs + random_->Below(kThinkRangeMs)),
      [this] { StartCalls(); });
}

void PipelinedCaller::StartCalls() {
  timer_ = 0;
  const uint64_t count = 1 + random_->Below(kMaxCalls);
  for (uint64_t i = 0; i < count; ++i) {
    const std::string id = new_id_();
    if (id.empty()) {
      return;
    }
    if (connection_ == nullptr || (connection_->ended() && calls_.empty())) {
      connection_ = std::make_unique<PipelinedConnection>(
          loop_->base(), options_.server, options_.timeout);
    }
    Send(id);
  }
}

void PipelinedCaller::Send(const std::string& id) {
  CallRecord& call = calls_.emplace_back();
  call.id = id;
  call.entry = options_.entry;
  call.sent = std::chrono::steady_clock::now();
  connection_->Send(
      fmt::format("GET /roster/soak HTTP/1.1\r\nHost: {}\r\nx-request-id: {}"
                  "\r\n{}\r\n",
                  options_.server.ToString(), id,
                  options_.accounts
                      ? fmt::format("x-api-key: {}\r\n", kValidApiKey)
                      : std::string()),
      [this](const PipelinedConnection::Response& response) {
        HandleResponse(response);
      });
}

void PipelinedCaller::HandleResponse(
    const PipelinedConnection::Response& response) {
  CallRecord call = std::move(calls_.front());
  calls_.pop_front();
  call.ended = std::chrono::steady_clock::now();
  call.status = response.status;
  call.is_behind_close = response.is_behind_close;
  call.outcome = response.Header(kOutcomeHeader);
  call.reason = response.Header(kReasonHeader);
  const nlohmann::json json =
      nlohmann::json::parse(response.body, nullptr, false);
  call.own_response =
      json.is_object() && json.value("request_id", "") == call.id;
  record_(call);
  if (calls_.empty()) {
    Pause();
  }
}

}  // namespace dragonflytack
