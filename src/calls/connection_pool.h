#ifndef DRAGONFLYTACK_SRC_CALLS_CONNECTION_POOL_H_
#define DRAGONFLYTACK_SRC_CALLS_CONNECTION_POOL_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include <event2/http.h>

#include "calls/exchange.h"
#include "calls/upstream_connection.h"
#include "dragonflytack/base/clock.h"
#include "dragonflytack/base/host_port.h"

namespace dragonflytack {

class BufferBudget;
class DeferredDeleter;
class EventLoop;

// Pool of connections to targets and nodes. The most recently used connection
// is reused first, so that the others expire after a load peak.
class ConnectionPool final {
 public:
  // Connecting takes about 1 ms, plus a round trip of 16 ms to another region.
  // The timeout is much longer, so that a reachable host is not considered
  // unreachable if the event loop is not scheduled for 100 ms. No byte of the
  // request has been sent at this point.
  static constexpr Milliseconds kConnectTimeout{250};
  static constexpr Milliseconds kIdleTimeout{30'000};
  // A connection whose peer sends a keep-alive timeout is closed this much
  // earlier, so that no request is sent while the peer closes it.
  static constexpr Milliseconds kKeepAliveMargin{1000};

  // The pointers must outlive the pool. `budget` limits the responses that are
  // being received on all connections; null for no limit.
  ConnectionPool(EventLoop* loop,
                 DeferredDeleter* deleter,
                 BufferBudget* budget = nullptr);
  ~ConnectionPool();
  ConnectionPool(const ConnectionPool&) = delete;
  ConnectionPool& operator=(const ConnectionPool&) = delete;

  // Writes headers and body of the request.
  using Writer = std::function<void(evhttp_request*)>;

  // Starts an exchange that ends within `timeout`. Returns null if
  // `max_connections` connections are in use already. The callback is never
  // called from within this function.
  std::unique_ptr<Exchange> Start(const HostPort& to,
                                  int max_connections,
                                  Milliseconds timeout,
                                  evhttp_cmd_type method,
                                  const char* uri,
                                  const Writer& write,
                                  Exchange::Callback callback,
                                  Exchange::Identity identity = {});

  // Returns the number of connections to one address, including idle ones.
  size_t CountOpen(const HostPort& to) const;

 private:
  struct AddressHash {
    size_t operator()(const HostPort& address) const;
  };
  struct Host {
    std::unordered_map<UpstreamConnection*, std::unique_ptr<UpstreamConnection>>
        open;
    std::vector<UpstreamConnection*> idle;
    UpstreamConnection::Events events;
  };

  Host* FindOrCreateHost(const HostPort& to);
  // Returns an idle connection on which the call was not refused, or null.
  UpstreamConnection* TakeIdle(Host* host, std::optional<uint64_t> call);
  void OnRetired(Host* host, UpstreamConnection* connection);
  void CloseExpiredIdle();

  EventLoop* const loop_;
  DeferredDeleter* const deleter_;
  BufferBudget* const budget_;
  std::unordered_map<HostPort, std::unique_ptr<Host>, AddressHash> hosts_;
  TimerId sweep_timer_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_CALLS_CONNECTION_POOL_H_
