#ifndef DRAGONFLYTACK_SRC_DISTRIBUTION_LINK_TABLE_H_
#define DRAGONFLYTACK_SRC_DISTRIBUTION_LINK_TABLE_H_

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "distribution/link_state.h"
#include "distribution/messages.h"
#include "dragonflytack/distribution/traffic_counters.h"

namespace dragonflytack {

class Clock;
class LinkLayer;

// The links of this node, connecting or up, with counters of their traffic.
class LinkTable final {
 public:
  LinkTable(LinkLayer* layer,
            const Clock* clock,
            std::string region,
            std::string data_centre);
  LinkTable(const LinkTable&) = delete;
  LinkTable& operator=(const LinkTable&) = delete;

  // Starts a connection. `peer` is empty if only the address is known. Does
  // nothing after StopDialling().
  void Dial(const HostPort& address, const NodeId& peer);
  // Keeps a node that has left from replacing the links that it loses.
  void StopDialling() { may_dial_ = false; }
  // Marks a link as up and returns it. Like Remove(), must not be called from
  // within a call of the layer.
  LinkState* MarkUp(LinkId id, const NodeRecord& peer, bool outgoing);
  // Closes a link; no further events are reported for it.
  void Close(LinkId id);
  // Removes a link that the layer reported as down.
  void Remove(LinkId id);
  // Sets the function that is called with each link that has left the table,
  // whether this node closed it or it ended. It is called from within Close()
  // and Remove() and must not use the table.
  void set_on_removed(std::function<void(LinkId)> on_removed) {
    on_removed_ = std::move(on_removed);
  }

  void Send(LinkState* link, const Message& message);
  // Sends an encoded frame, so that several links can share one encoding.
  void SendFrame(LinkState* link, size_t kind, const std::string& frame);
  // See LinkLayer::Flush().
  void Flush();
  void CountReceived(const LinkState& link, size_t kind, size_t bytes);
  size_t QueuedBytes(const LinkState& link) const;

  LinkState* Find(LinkId id);
  // Returns the link to a peer if it is up, null otherwise.
  LinkState* FindUp(const NodeId& peer);
  // Returns all links that are up. A pointer is valid until its link is closed
  // or removed; sending does neither.
  std::vector<LinkState*> Up();
  bool IsDialling(const HostPort& address) const;
  bool IsLinkedOrDialling(const HostPort& address) const;
  // Number of links that are still connecting.
  size_t dialling_count() const;
  size_t up_count() const;
  const std::map<LinkId, LinkState>& links() const { return links_; }
  const TrafficCounters& traffic() const { return traffic_; }

 private:
  // Removes a link and reports it. Returns whether there was one.
  bool Erase(LinkId id);

  LinkLayer* const layer_;
  const Clock* const clock_;
  const std::string region_;
  const std::string data_centre_;
  std::map<LinkId, LinkState> links_;
  std::function<void(LinkId)> on_removed_;
  TrafficCounters traffic_;
  bool is_calling_layer_ = false;
  bool may_dial_ = true;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_DISTRIBUTION_LINK_TABLE_H_
