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
  for (const QueuedRequest& queued : queue_) {
    loop_->timers().Cancel(queued.timer);
  }
}

void HttpPool::Send(HttpRequest request,
                    Milliseconds timeout,
                    ResponseCallback callback) {
  const uint64_t id = next_id_++;
  const TimerId timer =
      loop_->timers().SubscribeOnce(timeout, [this, id] { ExpireQueued(id); });
  queue_.push_back(QueuedRequest{id, std::move(request),
                                 loop_->clock().Now() + timeout, timer,
                                 std::move(callback)});
  Dispatch();
}

void HttpPool::CloseIdle() {
  for (const auto& connection : connections_) {
    if (!connection->busy()) {
      connection->CloseIdle();
    }
  }
}

HttpConnection* HttpPool::FindIdleConnection() {
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
  while (!queue_.empty()) {
    HttpConnection* connection = FindIdleConnection();
    if (connection == nullptr) {
      return;
    }
    QueuedRequest queued = std::move(queue_.front());
    queue_.pop_front();
    loop_->timers().Cancel(queued.timer);
    const auto remaining =
        std::max(Milliseconds(1), std::chrono::duration_cast<Milliseconds>(
                                      queued.deadline - loop_->clock().Now()));
    connection->Send(
        queued.request, remaining,
        [this, callback = std::move(queued.callback)](HttpResponse response) {
          // The next request is dispatched first because the callback may
          // destroy the pool.
          Dispatch();
          callback(std::move(response));
        });
  }
}

void HttpPool::ExpireQueued(uint64_t id) {
  const auto found = std::find_if(
      queue_.begin(), queue_.end(),
      [id](const QueuedRequest& queued) { return queued.id == id; });
  if (found == queue_.end()) {
    return;
  }
  const ResponseCallback callback = std::move(found->callback);
  queue_.erase(found);
  HttpResponse response;
  response.outcome = HttpOutcome::kNotSent;
  callback(std::move(response));
}

}  // namespace dragonflytack
