#ifndef DRAGONFLYTACK_DISTRIBUTION_LINK_LAYER_H_
#define DRAGONFLYTACK_DISTRIBUTION_LINK_LAYER_H_

#include <cstddef>
#include <string>

#include "dragonflytack/base/host_port.h"
#include "dragonflytack/distribution/link_id.h"

namespace dragonflytack {

// Connections to peers that carry authenticated, ordered frames. The layer
// reports events through DistributionCore::OnLinkUp(), OnFrame() and
// OnLinkDown(). It does not detect unresponsive links: the core does, because
// it determines which messages are due.
//
// No event is reported from within a call of this interface, so that the caller
// may keep the state of its links over the call. Until the end of a link is
// reported, frames for it are dropped.
class LinkLayer {
 public:
  virtual ~LinkLayer() = default;

  // Starts to connect. OnLinkUp() or OnLinkDown() is called later.
  virtual LinkId Connect(const HostPort& peer) = 0;

  // Closes a link. No further events are reported for it, including an end that
  // has not been reported yet.
  virtual void Close(LinkId link) = 0;

  // Queues a frame. Frames for a link that no longer exists are dropped.
  virtual void Send(LinkId link, std::string frame) = 0;

  // Passes the queued frames of all links to the operating system as far as it
  // takes them, so that they are sent even if the process is killed next.
  // Layers that do not queue frames in the process need not override it.
  virtual void Flush() {}

  // Returns the number of bytes queued on the link, for backpressure.
  virtual size_t QueuedBytes(LinkId link) const = 0;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_DISTRIBUTION_LINK_LAYER_H_
