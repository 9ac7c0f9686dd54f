#ifndef DRAGONFLYTACK_SRC_CALLS_CONNECTION_PROBE_H_
#define DRAGONFLYTACK_SRC_CALLS_CONNECTION_PROBE_H_

#include <functional>

#include "dragonflytack/base/host_port.h"

struct bufferevent;
struct event_base;

namespace dragonflytack {

// Connects to an address to find out whether a process listens there.
// Destroying the object cancels the attempt.
class ConnectionProbe final {
 public:
  // Whether the host refused the connection, so that no process listens.
  // Otherwise the process may run: the connection was made, or there was no
  // response within the limit. The callback may destroy the probe; it is never
  // called from within the constructor.
  using Callback = std::function<void(bool is_refused)>;

  ConnectionProbe(event_base* base, const HostPort& to, Callback callback);
  ~ConnectionProbe();
  ConnectionProbe(const ConnectionProbe&) = delete;
  ConnectionProbe& operator=(const ConnectionProbe&) = delete;

 private:
  static void OnEvent(bufferevent* socket, short what, void* self);

  const Callback callback_;
  bufferevent* const socket_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_CALLS_CONNECTION_PROBE_H_
