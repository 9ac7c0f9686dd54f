#include "calls/handover_runner.h"

#include <utility>

#include <event2/buffer.h>
#include <event2/http.h>

#include "calls/connection_pool.h"
#include "calls/deferred_deleter.h"
#include "calls/http_headers.h"
#include "dragonflytack/base/event_loop.h"
#include "onetime/one_time_records.h"

namespace dragonflytack {

namespace {

constexpr Milliseconds kMessageTimeout{1'000};
constexpr Milliseconds kRetryDelay{50};
constexpr int kMaxConnections = 4;

}  // namespace

HandoverRunner::HandoverRunner(const CallContext* context,
                               std::string shared_key,
                               OneTimeRecords* records,
                               std::vector<NodeLocation> candidates,
                               Callback done)
    : context_(context),
      shared_key_(std::move(shared_key)),
      records_(records),
      sender_(records, std::move(candidates)),
      done_(std::move(done)) {}

HandoverRunner::~HandoverRunner() {
  context_->loop->timers().Cancel(timeout_timer_);
  context_->loop->timers().Cancel(next_timer_);
}

void HandoverRunner::Start() {
  timeout_timer_ =
      context_->loop->timers().SubscribeOnce(kTimeout, [this] { Finish(); });
  ScheduleNext(Milliseconds::zero());
}

void HandoverRunner::ScheduleNext(Milliseconds delay) {
  next_timer_ =
      context_->loop->timers().SubscribeOnce(delay, [this] { SendNext(); });
}

void HandoverRunner::SendNext() {
  const auto outgoing = sender_.Next(context_->loop->clock().Now());
  if (!outgoing) {
    Finish();
    return;
  }
  const std::string body = outgoing->message.Encode(shared_key_);
  exchange_ = context_->connections->Start(
      {outgoing->to.address, outgoing->to.mesh_port}, kMaxConnections,
      kMessageTimeout, EVHTTP_REQ_POST, kPath,
      [&body](evhttp_request* out) {
        AddHeader(evhttp_request_get_output_headers(out), "Content-Length",
                  static_cast<int64_t>(body.size()));
        evbuffer_add(evhttp_request_get_output_buffer(out), body.data(),
                     body.size());
      },
      [this](ExchangeOutcome outcome, HttpRequestPtr response) {
        OnExchangeFinished(outcome, std::move(response));
      });
  if (exchange_ == nullptr) {
    OnExchangeFinished(ExchangeOutcome::kNotSent, nullptr);
  }
}

void HandoverRunner::OnExchangeFinished(ExchangeOutcome outcome,
                                        HttpRequestPtr response) {
  if (exchange_ != nullptr) {
    context_->deleter->Add(std::move(exchange_));
  }
  if (finished_) {
    return;
  }
  const TimePoint now = context_->loop->clock().Now();
  std::optional<int64_t> reply;
  if (outcome == ExchangeOutcome::kCompleted) {
    reply = FindNumber(evhttp_request_get_input_headers(response.get()),
                       kReplyHeader);
  }
  if (reply && *reply <= static_cast<int64_t>(HandoverReply::kWrongProcess)) {
    sender_.OnReply(static_cast<HandoverReply>(*reply), now);
    ScheduleNext(Milliseconds::zero());
  } else {
    sender_.OnNoReply(now);
    ScheduleNext(kRetryDelay);
  }
}

void HandoverRunner::Finish() {
  if (std::exchange(finished_, true)) {
    return;
  }
  context_->loop->timers().Cancel(timeout_timer_);
  context_->loop->timers().Cancel(next_timer_);
  const auto successor =
      sender_.committed_to().find({records_->self(), records_->incarnation()});
  done_(successor == sender_.committed_to().end() ? NodeId()
                                                  : successor->second);
}

}  // namespace dragonflytack
