#include "calls/exchange.h"

#include <algorithm>
#include <utility>

#include "calls/upstream_connection.h"

namespace dragonflytack {

Exchange::Exchange(TimerService* timers, Identity identity, Callback callback)
    : timers_(timers),
      identity_(std::move(identity)),
      callback_(std::move(callback)) {}

Exchange::~Exchange() {
  timers_->Cancel(timer_);
  if (connection_ != nullptr) {
    connection_->Abandon();
  }
}

void Exchange::Start(UpstreamConnection* connection,
                     Milliseconds timeout,
                     Milliseconds connect_timeout) {
  connection_ = connection;
  const Milliseconds first_timeout = std::min(timeout, connect_timeout);
  timer_ = timers_->SubscribeOnce(
      first_timeout,
      [this, remaining = timeout - first_timeout] { OnTimer(remaining); });
}

void Exchange::OnTimer(Milliseconds remaining) {
  const bool sent = connection_->sent();
  if (sent && remaining > Milliseconds::zero()) {
    timer_ = timers_->SubscribeOnce(remaining,
                                    [this] { OnTimer(Milliseconds::zero()); });
    return;
  }
  std::exchange(connection_, nullptr)->OnExchangeTimeout();
  Finish(sent ? ExchangeOutcome::kTimeout : ExchangeOutcome::kNotSent, nullptr);
}

void Exchange::Finish(ExchangeOutcome outcome, HttpRequestPtr response) {
  connection_ = nullptr;
  timers_->Cancel(timer_);
  // Moved out because the callback may destroy this object.
  const Callback callback = std::move(callback_);
  callback(outcome, std::move(response));
}

}  // namespace dragonflytack
