#include "calls/exchange.h"

#include <algorithm>
#include <utility>

#include "calls/upstream_connection.h"

namespace dragonflytack {

Exchange::Exchange(TimerService* timers, Judge judge, Callback callback)
    : timers_(timers),
      judge_(std::move(judge)),
      callback_(std::move(callback)) {}

Exchange::~Exchange() {
  timers_->Cancel(timer_);
  if (connection_ != nullptr) {
    connection_->Abandon();
  }
}

void Exchange::Start(UpstreamConnection* connection,
                     Milliseconds limit,
                     Milliseconds connect_limit) {
  connection_ = connection;
  const Milliseconds first = std::min(limit, connect_limit);
  timer_ = timers_->SubscribeOnce(
      first, [this, rest = limit - first] { OnLimit(rest); });
}

void Exchange::OnLimit(Milliseconds rest) {
  const bool sent = connection_->sent();
  if (sent && rest > Milliseconds::zero()) {
    timer_ =
        timers_->SubscribeOnce(rest, [this] { OnLimit(Milliseconds::zero()); });
    return;
  }
  std::exchange(connection_, nullptr)->GiveUp();
  Finish(sent ? ExchangeOutcome::kTimeout : ExchangeOutcome::kNotSent, nullptr);
}

void Exchange::Finish(ExchangeOutcome end, HttpRequestPtr response) {
  connection_ = nullptr;
  timers_->Cancel(timer_);
  // Moved out because the callback may destroy this object.
  const Callback callback = std::move(callback_);
  callback(end, std::move(response));
}

}  // namespace dragonflytack
