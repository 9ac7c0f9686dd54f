#include "store/http_pool.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "dragonflytack/base/event_loop.h"

namespace dragonflytack {

HttpPool::HttpPool(EventLoop* loop,
                   HostPort peer,
                   size_t max_connections,
                   size_t max_response_bytes)
    : loop_(loop),
      peer_(std::move(peer)),
      max_connections_(max_connections),
      max_response_bytes_(max_response_bytes) {}

HttpPool::~HttpPool() {
  for (const Call& call : waiting_) {
    loop_->timers().Cancel(call.timer);
  }
}

void HttpPool::Send(HttpRequest request,
                    Milliseconds timeout,
                    ResponseCallback callback) {
  const uint64_t id = next_id_++;
  const TimerId timer =
      loop_->timers().SubscribeOnce(timeout, [this, id] { ExpireWaiting(id); });
  waiting_.push_back(Call{id, std::move(request),
                          loop_->clock().Now() + timeout, timer,
                          std::move(callback)});
  Dispatch();
}

HttpConnection* HttpPool::FreeConnection() {
  for (const auto& connection : connections_) {
    if (!connection->busy()) {
      return connection.get();
    }
  }
  if (connections_.size() == max_connections_) {
    return nullptr;
  }
  connections_.push_back(
      std::make_unique<HttpConnection>(loop_, peer_, max_response_bytes_));
  return connections_.back().get();
}

void HttpPool::Dispatch() {
  while (!waiting_.empty()) {
    HttpConnection* connection = FreeConnection();
    if (connection == nullptr) {
      return;
    }
    Call call = std::move(waiting_.front());
    waiting_.pop_front();
    loop_->timers().Cancel(call.timer);
    const auto left =
        std::max(Milliseconds(1), std::chrono::duration_cast<Milliseconds>(
                                      call.deadline - loop_->clock().Now()));
    connection->Send(
        call.request, left,
        [this, callback = std::move(call.callback)](HttpResponse response) {
          // The next call goes first because the callback may destroy the pool.
          Dispatch();
          callback(std::move(response));
        });
  }
}

void HttpPool::ExpireWaiting(uint64_t id) {
  const auto found =
      std::find_if(waiting_.begin(), waiting_.end(),
                   [id](const Call& call) { return call.id == id; });
  if (found == waiting_.end()) {
    return;
  }
  const ResponseCallback callback = std::move(found->callback);
  waiting_.erase(found);
  HttpResponse response;
  response.end = HttpOutcome::kNotSent;
  callback(std::move(response));
}

}  // namespace dragonflytack
