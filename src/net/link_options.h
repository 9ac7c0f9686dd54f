#ifndef DRAGONFLYTACK_NET_LINK_OPTIONS_H_
#define DRAGONFLYTACK_NET_LINK_OPTIONS_H_

#include <cstddef>
#include <string>

#include "dragonflytack/base/clock.h"

namespace dragonflytack {

// Security settings and limits of the links between nodes. Tests set smaller
// limits.
struct LinkOptions final {
  // If empty, links are not authenticated, and only loopback peers are accepted
  // unless `open_network` is set.
  std::string shared_key;
  // The network itself admits only nodes of the fleet, so that links without a
  // shared key are accepted from any address.
  bool open_network = false;
  // The largest message is a table; see MessageCodec::kMaxFrameBytes.
  size_t max_frame_bytes = 8'000'000;
  // A link whose send queue would exceed this is closed: the peer reads too
  // slowly, and the queue would grow without bound.
  size_t max_queue_bytes = 16'000'000;
  // For connecting, the WebSocket upgrade and the authentication together.
  Milliseconds handshake_timeout{3000};
  // Longest wait for queued frames to be sent after a close.
  Milliseconds linger_timeout{1000};
  // A node has about 30 links. The rest is for joining nodes that request a
  // snapshot.
  size_t max_inbound = 256;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_NET_LINK_OPTIONS_H_
