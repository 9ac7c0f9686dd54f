#ifndef DRAGONFLYTACK_NET_WEBSOCKET_LINK_LAYER_H_
#define DRAGONFLYTACK_NET_WEBSOCKET_LINK_LAYER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>

#include "dragonflytack/base/mailbox.h"
#include "dragonflytack/distribution/link_layer.h"
#include "net/link_options.h"
#include "net/websocket_link.h"

struct evconnlistener;
struct sockaddr;

namespace dragonflytack {

class Logger;

// Links to peers over WebSocket. Owns the listening socket of the peer port,
// and runs on the loop's thread.
class WebSocketLinkLayer final : public LinkLayer,
                                 public WebSocketLink::Delegate {
 public:
  // Source of this node's record, and the callbacks for events of links. Must
  // be set before the loop runs.
  struct Events {
    std::function<const NodeRecord&()> self;
    std::function<void(LinkId, const NodeRecord& peer, bool outgoing)> on_up;
    std::function<void(LinkId, std::string_view frame)> on_frame;
    std::function<void(LinkId, const Failure& reason)> on_down;
  };

  // Bytes sent and received, including WebSocket headers.
  struct Traffic {
    uint64_t sent = 0;
    uint64_t received = 0;
  };

  // Listens on `address`. Returns null, with kInvalidArgument if it is not an
  // IP address and port, or kAddressInUse if it cannot be bound. Logs a warning
  // if there is no shared key.
  static std::unique_ptr<WebSocketLinkLayer> Make(EventLoop* loop,
                                                  const HostPort& address,
                                                  LinkOptions options,
                                                  Logger* logger,
                                                  Failure* reason);
  ~WebSocketLinkLayer() override;

  void set_events(Events events) { events_ = std::move(events); }

  LinkId Connect(const HostPort& peer) override;
  void Close(LinkId link) override;
  void Send(LinkId link, std::string frame) override;
  void Flush() override;
  size_t QueuedBytes(LinkId link) const override;

  // Stops accepting and starting links, and closes all links after sending
  // their queues. A later Connect() fails: the core still replaces lost links,
  // and a new one would delay the end of the stop until its peer closes it.
  // Calls `on_closed` when all links are closed, at the latest after the linger
  // timeout.
  void Shutdown(std::function<void()> on_closed);

  // Calls `visit` for each link that is up.
  void ForEachUp(const std::function<void(const WebSocketLink&)>& visit) const;

  size_t link_count() const { return links_.size(); }
  // Traffic of the links that have ended, by ClassName().
  const std::map<std::string, Traffic>& ended_traffic() const {
    return ended_traffic_;
  }
  // Number of links that ended other than by Close(), by the name of the
  // failure code.
  const std::map<std::string, uint64_t>& end_counts() const {
    return end_counts_;
  }
  // Returns the class of a link by the location of its peer:
  // "same_data_centre", "same_region", "other_region", or "none" for a link
  // that was never up.
  std::string ClassName(const WebSocketLink& link) const;

 private:
  using Task = std::function<void()>;

  WebSocketLinkLayer(EventLoop* loop, LinkOptions options, Logger* logger);
  static void OnAccept(evconnlistener* listener,
                       int fd,
                       sockaddr* address,
                       int size,
                       void* self);
  WebSocketLink* Add(int fd, bool outgoing, const HostPort& remote);
  // Ends the oldest accepted connection whose handshake takes long, if there is
  // one, to make room for another.
  void EndSlowHandshake();
  // Starts a link on a later turn of the loop, so that Connect() calls no
  // callback.
  void StartLater(LinkId id);

  const NodeRecord& SelfRecord() override;
  void OnUp(WebSocketLink* link) override;
  void OnFrame(WebSocketLink* link, const std::string& frame) override;
  void OnDown(WebSocketLink* link, const Failure& reason, bool was_up) override;
  void OnReleased(WebSocketLink* link) override;

  EventLoop* const loop_;
  const LinkOptions options_;
  Logger* const logger_;
  Events events_;
  evconnlistener* listener_ = nullptr;
  LinkId next_id_ = 1;
  size_t inbound_count_ = 0;
  // Accepted links that have not been up, with the times of their accept. Their
  // order is that of the accepts.
  std::map<LinkId, TimePoint> handshakes_;
  std::unordered_map<LinkId, std::unique_ptr<WebSocketLink>> links_;
  // Links that were requested after Shutdown() and not reported down yet.
  std::set<LinkId> refused_;
  std::map<std::string, Traffic> ended_traffic_;
  std::map<std::string, uint64_t> end_counts_;
  std::function<void()> on_closed_;
  // Tasks that must not run within the call that causes them. They run in
  // order, so that the end of a link is reported before the link is destroyed.
  Mailbox<Task> deferred_tasks_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_NET_WEBSOCKET_LINK_LAYER_H_
