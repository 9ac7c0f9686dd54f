#ifndef DRAGONFLYTACK_DISTRIBUTION_LINK_LAYER_H_
#define DRAGONFLYTACK_DISTRIBUTION_LINK_LAYER_H_

#include <cstddef>
#include <string>

#include "dragonflytack/base/host_port.h"
#include "dragonflytack/distribution/link_id.h"

namespace dragonflytack {

// Connections to peers as DistributionCore uses them: authenticated, ordered
// frames. The layer reports through DistributionCore::OnLinkUp(), OnFrame() and
// OnLinkDown(). It does not judge whether a link is silent; the core does,
// because it knows what should have arrived.
class LinkLayer {
 public:
  virtual ~LinkLayer() = default;

  // Starts a connection. OnLinkUp() or OnLinkDown() follows, never from within
  // this call.
  virtual LinkId Connect(const HostPort& peer) = 0;

  // Closes a link. No further report comes for it.
  virtual void Close(LinkId link) = 0;

  // Queues a frame. Frames to a link that is gone are dropped.
  virtual void Send(LinkId link, std::string frame) = 0;

  // Bytes that wait to be sent on the link, for back pressure.
  virtual size_t QueuedBytes(LinkId link) const = 0;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_DISTRIBUTION_LINK_LAYER_H_
