#ifndef DRAGONFLYTACK_SRC_CALLS_CONNECTION_POOL_H_
#define DRAGONFLYTACK_SRC_CALLS_CONNECTION_POOL_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

#include <event2/http.h>

#include "calls/exchange.h"
#include "calls/upstream_connection.h"
#include "dragonflytack/base/clock.h"
#include "dragonflytack/base/host_port.h"

namespace dragonflytack {

class DeferredDeleter;
class EventLoop;

// Connections to targets and nodes, kept for reuse. The most recently used one
// is reused first, so that the others can age out after a rush.
class ConnectionPool final {
 public:
  // A new connection costs about 1 ms, and 16 ms for the way to another region
  // and back. A loop that is not scheduled for a tenth of a second must not
  // take a living host for a dead one. Nothing was sent to it yet.
  static constexpr Milliseconds kConnectLimit{250};
  static constexpr Milliseconds kIdleLimit{30'000};
  // A connection whose other side said how long it keeps it is closed this much
  // earlier, so that no request meets it closing.
  static constexpr Milliseconds kKeepAliveMargin{1000};

  // Both must outlive the pool.
  ConnectionPool(EventLoop* loop, DeferredDeleter* deleter);
  ~ConnectionPool();
  ConnectionPool(const ConnectionPool&) = delete;
  ConnectionPool& operator=(const ConnectionPool&) = delete;

  // Writes headers and body of the request.
  using Writer = std::function<void(evhttp_request*)>;

  // Starts an exchange that ends within `limit`. Returns null when there are
  // `max_connections` in use already. The callback is never called from within
  // this function.
  std::unique_ptr<Exchange> Start(const HostPort& to,
                                  int max_connections,
                                  Milliseconds limit,
                                  evhttp_cmd_type method,
                                  const char* uri,
                                  const Writer& write,
                                  Exchange::Callback callback,
                                  Exchange::Judge judge = {});

  // Connections to one address, idle ones included.
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

  Host* FindHost(const HostPort& to);
  UpstreamConnection* TakeIdle(Host* host);
  void OnRetired(Host* host, UpstreamConnection* connection);
  void CloseOldIdle();

  EventLoop* const loop_;
  DeferredDeleter* const deleter_;
  std::unordered_map<HostPort, std::unique_ptr<Host>, AddressHash> hosts_;
  TimerId sweep_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_CALLS_CONNECTION_POOL_H_
