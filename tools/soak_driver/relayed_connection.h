#ifndef TOOLS_SOAK_DRIVER_RELAYED_CONNECTION_H_
#define TOOLS_SOAK_DRIVER_RELAYED_CONNECTION_H_

#include <array>
#include <deque>
#include <functional>

#include "dragonflytack/base/event_loop.h"
#include "dragonflytack/base/host_port.h"
#include "soak_driver/relay_fault.h"

struct bufferevent;
struct evbuffer;

namespace dragonflytack {

// A connection through the fault relay: two sockets and the bytes between them.
// Direction 0 carries bytes from the daemon, direction 1 bytes to it. An end of
// stream and a reset are passed on like bytes.
class RelayedConnection final {
 public:
  // Calls `on_end` when both sockets are done with; the owner then deletes the
  // connection.
  RelayedConnection(EventLoop* loop,
                    int fd,
                    const HostPort& address,
                    uint64_t serial,
                    RelayRoute route,
                    int node,
                    std::function<void(RelayedConnection*)> on_end);
  ~RelayedConnection();
  RelayedConnection(const RelayedConnection&) = delete;
  RelayedConnection& operator=(const RelayedConnection&) = delete;

  void SetDelay(int delay_ms) { delay_ms_ = delay_ms; }
  void SetStalled(bool forward, bool backward);
  // Keeps both directions silent until an end closes its socket by a reset.
  void SilenceForGood() { silent_for_good_ = true; }
  // Resets both sockets and calls `on_end`.
  void Reset();

  uint64_t serial() const { return serial_; }
  RelayRoute route() const { return route_; }
  int node() const { return node_; }

 private:
  struct Chunk {
    TimePoint due;
    evbuffer* bytes;  // Null for the end of the stream.
  };
  struct Direction {
    RelayedConnection* connection = nullptr;
    int index = 0;
    bufferevent* from = nullptr;
    bufferevent* to = nullptr;
    std::deque<Chunk> delayed;
    TimerId timer = 0;
    bool stalled = false;
    bool ended = false;      // The end of the stream was passed on.
    bool shut_down = false;  // The receiving socket has been shut down.
  };

  static void OnReadable(bufferevent* socket, void* direction);
  static void OnWritten(bufferevent* socket, void* direction);
  static void OnEvent(bufferevent* socket, short what, void* direction);
  void Forward(Direction* direction, evbuffer* bytes);
  void SendDue(Direction* direction);
  void ShutDownIfWritten(Direction* direction);

  EventLoop* const loop_;
  const uint64_t serial_;
  const RelayRoute route_;
  const int node_;
  const std::function<void(RelayedConnection*)> on_end_;
  std::array<Direction, 2> directions_;
  int delay_ms_ = 0;
  bool silent_for_good_ = false;
};

}  // namespace dragonflytack

#endif  // TOOLS_SOAK_DRIVER_RELAYED_CONNECTION_H_
