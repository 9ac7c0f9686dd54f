#ifndef TOOLS_SOAK_DRIVER_PROXIED_CONNECTION_H_
#define TOOLS_SOAK_DRIVER_PROXIED_CONNECTION_H_

#include <array>
#include <deque>
#include <functional>

#include "dragonflytack/base/event_loop.h"
#include "dragonflytack/base/host_port.h"

struct bufferevent;
struct evbuffer;

namespace dragonflytack {

// A connection through the fault proxy: two sockets and the bytes between them.
// Direction 0 carries bytes from the connecting process, direction 1 bytes to
// it. An end of stream and a reset are passed on like bytes.
class ProxiedConnection final {
 public:
  // Calls `on_end` when both sockets are done with; the owner then deletes the
  // connection. `source` and `destination` are bits of a ProcessMask.
  ProxiedConnection(EventLoop* loop,
                    int fd,
                    const HostPort& address,
                    uint64_t serial,
                    int source,
                    int destination,
                    std::function<void(ProxiedConnection*)> on_end);
  ~ProxiedConnection();
  ProxiedConnection(const ProxiedConnection&) = delete;
  ProxiedConnection& operator=(const ProxiedConnection&) = delete;

  void SetDelay(int delay_ms) { delay_ms_ = delay_ms; }
  void SetStalled(bool forward, bool backward);
  // Keeps both directions silent until an end closes its socket by a reset.
  void SilenceForGood() { silent_for_good_ = true; }
  // Resets both sockets and calls `on_end`.
  void Reset();

  uint64_t serial() const { return serial_; }
  int source() const { return source_; }
  int destination() const { return destination_; }
  uint16_t port() const { return port_; }

 private:
  struct Chunk {
    TimePoint due;
    evbuffer* bytes;  // Null for the end of the stream.
  };
  struct Direction {
    ProxiedConnection* connection = nullptr;
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
  const int source_;
  const int destination_;
  const uint16_t port_;
  const std::function<void(ProxiedConnection*)> on_end_;
  std::array<Direction, 2> directions_;
  int delay_ms_ = 0;
  bool silent_for_good_ = false;
};

}  // namespace dragonflytack

#endif  // TOOLS_SOAK_DRIVER_PROXIED_CONNECTION_H_
