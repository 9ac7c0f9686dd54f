#ifndef DRAGONFLYTACK_NET_LINK_OPTIONS_H_
#define DRAGONFLYTACK_NET_LINK_OPTIONS_H_

#include <cstddef>
#include <string>

#include "dragonflytack/base/clock.h"

namespace dragonflytack {

// Limits of the links between nodes. Tests set smaller ones.
struct LinkOptions final {
  // Empty: links are not authenticated, and only loopback peers are accepted
  // unless the network is open.
  std::string shared_key;
  // The network itself lets only nodes of the fleet in.
  bool open_network = false;
  // The largest message is a snapshot: a table of 1 MB and 5,300 records of
  // about 300 B.
  size_t max_frame_bytes = 8'000'000;
  // A peer that leaves this much unread is closed, because the queue would
  // otherwise grow without bound.
  size_t max_queue_bytes = 16'000'000;
  // Connect, WebSocket upgrade and authentication together.
  Milliseconds handshake_timeout{3000};
  // Longest wait for the last frames to leave after a close.
  Milliseconds linger_timeout{1000};
  // A node has about 30 links; the rest is room for newcomers that ask for a
  // snapshot.
  size_t max_inbound = 256;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_NET_LINK_OPTIONS_H_
