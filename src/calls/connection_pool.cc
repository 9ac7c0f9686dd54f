#include "calls/connection_pool.h"

#include <algorithm>
#include <utility>

#include "calls/deferred_deleter.h"
#include "dragonflytack/base/event_loop.h"
#include "dragonflytack/base/hash.h"

namespace dragonflytack {

namespace {

constexpr Milliseconds kSweepPeriod{1000};

Milliseconds IdleTimeout(const UpstreamConnection& connection) {
  return connection.keep_alive_timeout()
             ? std::min(ConnectionPool::kIdleTimeout,
                        *connection.keep_alive_timeout() -
                            ConnectionPool::kKeepAliveMargin)
             : ConnectionPool::kIdleTimeout;
}

}  // namespace

size_t ConnectionPool::AddressHash::operator()(const HostPort& address) const {
  return Hash64(address.address, address.port);
}

ConnectionPool::ConnectionPool(EventLoop* loop,
                               DeferredDeleter* deleter,
                               BufferBudget* budget)
    : loop_(loop), deleter_(deleter), budget_(budget) {
  sweep_timer_ = loop_->timers().SubscribeEvery(kSweepPeriod,
                                                [this] { CloseExpiredIdle(); });
}

ConnectionPool::~ConnectionPool() {
  loop_->timers().Cancel(sweep_timer_);
}

std::unique_ptr<Exchange> ConnectionPool::Start(const HostPort& to,
                                                int max_connections,
                                                Milliseconds timeout,
                                                evhttp_cmd_type method,
                                                const char* uri,
                                                const Writer& write,
                                                Exchange::Callback callback,
                                                Exchange::Identity identity) {
  Host* host = FindOrCreateHost(to);
  UpstreamConnection* connection = TakeIdle(host, identity.call);
  Milliseconds connect_timeout = timeout;
  if (connection == nullptr) {
    if (host->open.size() >= static_cast<size_t>(max_connections)) {
      return nullptr;
    }
    auto created = std::make_unique<UpstreamConnection>(
        loop_->base(), deleter_, to, &host->events, budget_);
    connection = created.get();
    host->open.emplace(connection, std::move(created));
    connect_timeout = kConnectTimeout;
  }
  evhttp_request* request = connection->NewRequest();
  write(request);
  auto exchange = std::make_unique<Exchange>(
      &loop_->timers(), std::move(identity), std::move(callback));
  if (connection->Send(request, method, uri, exchange.get())) {
    exchange->Start(connection, timeout, connect_timeout);
  } else {
    // Reported in the next iteration of the event loop, because the caller does
    // not have the exchange yet.
    exchange->timer_ = loop_->timers().SubscribeOnce(
        Milliseconds::zero(), [failed = exchange.get()] {
          failed->Finish(ExchangeOutcome::kNotSent, nullptr);
        });
  }
  return exchange;
}

size_t ConnectionPool::CountOpen(const HostPort& to) const {
  const auto found = hosts_.find(to);
  return found == hosts_.end() ? 0 : found->second->open.size();
}

ConnectionPool::Host* ConnectionPool::FindOrCreateHost(const HostPort& to) {
  std::unique_ptr<Host>& host = hosts_[to];
  if (host == nullptr) {
    host = std::make_unique<Host>();
    Host* const pointer = host.get();
    host->events.on_idle = [this, pointer](UpstreamConnection* connection) {
      connection->set_idle_since(loop_->clock().Now());
      pointer->idle.push_back(connection);
    };
    host->events.on_timeout = [pointer](UpstreamConnection*) {
      for (UpstreamConnection* idle : std::exchange(pointer->idle, {})) {
        idle->Abandon();
      }
    };
    host->events.on_retired = [this, pointer](UpstreamConnection* connection) {
      OnRetired(pointer, connection);
    };
  }
  return host.get();
}

UpstreamConnection* ConnectionPool::TakeIdle(Host* host,
                                             std::optional<uint64_t> call) {
  while (!host->idle.empty()) {
    UpstreamConnection* connection = host->idle.back();
    host->idle.pop_back();
    if (!connection->IsStale() && !(call && connection->HasRefused(*call)) &&
        loop_->clock().Now() - connection->idle_since() <
            IdleTimeout(*connection)) {
      return connection;
    }
    connection->Abandon();
  }
  return nullptr;
}

void ConnectionPool::OnRetired(Host* host, UpstreamConnection* connection) {
  std::erase(host->idle, connection);
  const auto found = host->open.find(connection);
  if (found != host->open.end()) {
    deleter_->Add(std::shared_ptr<void>(std::move(found->second)));
    host->open.erase(found);
  }
}

void ConnectionPool::CloseExpiredIdle() {
  const TimePoint now = loop_->clock().Now();
  for (auto& [address, host] : hosts_) {
    // Connections are reused from the back, so the front one has been idle for
    // the longest time.
    while (!host->idle.empty() && now - host->idle.front()->idle_since() >
                                      IdleTimeout(*host->idle.front())) {
      host->idle.front()->Abandon();
    }
  }
  // Entries of hosts that left the fleet are removed. This is safe because
  // retired connections, which are deleted later, no longer call the events of
  // their host.
  std::erase_if(hosts_,
                [](const auto& item) { return item.second->open.empty(); });
}

}  // namespace dragonflytack
