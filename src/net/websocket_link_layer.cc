#include "net/websocket_link_layer.h"

#include <cstring>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <event2/util.h>

#include "dragonflytack/base/event_loop.h"
#include "dragonflytack/base/logger.h"

namespace dragonflytack {

namespace {

constexpr int kListenBacklog = 512;
// A handshake takes three round trips, and a node that is short of processor
// time sends its messages within this time.
constexpr Milliseconds kSlowHandshake{500};

HostPort ToHostPort(const sockaddr* address) {
  char text[INET6_ADDRSTRLEN] = {};
  if (address->sa_family == AF_INET6) {
    const auto* v6 = reinterpret_cast<const sockaddr_in6*>(address);
    inet_ntop(AF_INET6, &v6->sin6_addr, text, sizeof(text));
    return {text, ntohs(v6->sin6_port)};
  }
  const auto* v4 = reinterpret_cast<const sockaddr_in*>(address);
  inet_ntop(AF_INET, &v4->sin_addr, text, sizeof(text));
  return {text, ntohs(v4->sin_port)};
}

}  // namespace

std::unique_ptr<WebSocketLinkLayer> WebSocketLinkLayer::Make(
    EventLoop* loop,
    const HostPort& address,
    LinkOptions options,
    Logger* logger,
    Failure* reason) {
  std::unique_ptr<WebSocketLinkLayer> layer(
      new WebSocketLinkLayer(loop, std::move(options), logger));
  sockaddr_storage bound;
  int size = sizeof(bound);
  if (evutil_parse_sockaddr_port(address.ToString().c_str(),
                                 reinterpret_cast<sockaddr*>(&bound),
                                 &size) != 0) {
    *reason = {FailureCode::kInvalidArgument, address.ToString(),
               "not an IP address and port"};
    return nullptr;
  }
  layer->listener_ = evconnlistener_new_bind(
      loop->base(), &WebSocketLinkLayer::OnAccept, layer.get(),
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE,
      kListenBacklog, reinterpret_cast<sockaddr*>(&bound), size);
  if (layer->listener_ == nullptr) {
    *reason = {FailureCode::kAddressInUse, address.ToString(),
               evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR())};
    return nullptr;
  }
  if (layer->options_.shared_key.empty()) {
    logger->Warning("links_without_key",
                    {{"detail",
                      "security.shared_key is not set: peers are not "
                      "authenticated and only loopback peers are "
                      "accepted"}});
  }
  return layer;
}

WebSocketLinkLayer::WebSocketLinkLayer(EventLoop* loop,
                                       LinkOptions options,
                                       Logger* logger)
    : loop_(loop),
      options_(std::move(options)),
      logger_(logger),
      deferred_tasks_(loop, [](const Task& task) { task(); }) {}

WebSocketLinkLayer::~WebSocketLinkLayer() {
  if (listener_ != nullptr) {
    evconnlistener_free(listener_);
  }
}

LinkId WebSocketLinkLayer::Connect(const HostPort& peer) {
  if (listener_ == nullptr) {
    const LinkId refused = next_id_++;
    refused_.insert(refused);
    deferred_tasks_.Post([this, refused, peer] {
      if (refused_.erase(refused) != 0) {
        events_.on_down(refused, {FailureCode::kCancelled, peer.ToString(),
                                  "this node is stopping"});
      }
    });
    return refused;
  }
  const LinkId id = Add(-1, /*outgoing=*/true, peer)->id();
  StartLater(id);
  return id;
}

void WebSocketLinkLayer::Close(LinkId link) {
  refused_.erase(link);
  const auto found = links_.find(link);
  if (found != links_.end()) {
    found->second->Close();
  }
}

void WebSocketLinkLayer::Send(LinkId link, std::string frame) {
  const auto found = links_.find(link);
  if (found != links_.end()) {
    found->second->Send(frame);
  }
}

void WebSocketLinkLayer::Flush() {
  for (const auto& [id, link] : links_) {
    if (link->is_up()) {
      link->Flush();
    }
  }
}

size_t WebSocketLinkLayer::QueuedBytes(LinkId link) const {
  const auto found = links_.find(link);
  return found == links_.end() ? 0 : found->second->queued_bytes();
}

void WebSocketLinkLayer::Shutdown(std::function<void()> on_closed) {
  on_closed_ = std::move(on_closed);
  // With the listener closed, peers that reconnect are refused immediately
  // instead of waiting in the backlog.
  evconnlistener_free(std::exchange(listener_, nullptr));
  std::vector<LinkId> ids;
  for (const auto& [id, link] : links_) {
    ids.push_back(id);
  }
  for (const LinkId id : ids) {
    Close(id);
  }
  if (links_.empty()) {
    deferred_tasks_.Post([this] { std::exchange(on_closed_, nullptr)(); });
  }
}

void WebSocketLinkLayer::ForEachUp(
    const std::function<void(const WebSocketLink&)>& visit) const {
  for (const auto& [id, link] : links_) {
    if (link->is_up()) {
      visit(*link);
    }
  }
}

std::string WebSocketLinkLayer::ClassName(const WebSocketLink& link) const {
  if (!link.is_up() && !link.was_up()) {
    return "none";
  }
  const NodeRecord& self = events_.self();
  if (link.peer().region != self.region) {
    return "other_region";
  }
  return link.peer().data_centre == self.data_centre ? "same_data_centre"
                                                     : "same_region";
}

void WebSocketLinkLayer::OnAccept(evconnlistener* /*listener*/,
                                  int fd,
                                  sockaddr* address,
                                  int /*size*/,
                                  void* self) {
  auto* const layer = static_cast<WebSocketLinkLayer*>(self);
  const HostPort remote = ToHostPort(address);
  if (layer->inbound_count_ >= layer->options_.max_inbound) {
    layer->EndSlowHandshake();
  }
  if (layer->inbound_count_ >= layer->options_.max_inbound) {
    layer->logger_->Warning("link_refused",
                            {{"peer", remote.ToString()},
                             {"inbound", uint64_t{layer->inbound_count_}}});
    evutil_closesocket(fd);
    return;
  }
  WebSocketLink* const link = layer->Add(fd, /*outgoing=*/false, remote);
  layer->handshakes_.emplace(link->id(), layer->loop_->clock().Now());
  link->Start();
}

void WebSocketLinkLayer::EndSlowHandshake() {
  if (handshakes_.empty()) {
    return;
  }
  const auto& [id, accepted_at] = *handshakes_.begin();
  if (loop_->clock().Now() - accepted_at < kSlowHandshake) {
    return;
  }
  if (const auto found = links_.find(id); found != links_.end()) {
    found->second->Abort("a slow handshake makes way for another connection");
  }
}

WebSocketLink* WebSocketLinkLayer::Add(int fd,
                                       bool outgoing,
                                       const HostPort& remote) {
  bufferevent* const socket =
      bufferevent_socket_new(loop_->base(), fd, BEV_OPT_CLOSE_ON_FREE);
  const LinkId id = next_id_++;
  auto link = std::make_unique<WebSocketLink>(id, outgoing, remote, socket,
                                              options_, &loop_->timers(), this);
  WebSocketLink* const added = link.get();
  links_.emplace(id, std::move(link));
  inbound_count_ += outgoing ? 0 : 1;
  return added;
}

void WebSocketLinkLayer::StartLater(LinkId id) {
  deferred_tasks_.Post([this, id] {
    const auto found = links_.find(id);
    if (found != links_.end()) {
      found->second->Start();
    }
  });
}

const NodeRecord& WebSocketLinkLayer::SelfRecord() {
  return events_.self();
}

void WebSocketLinkLayer::OnUp(WebSocketLink* link) {
  handshakes_.erase(link->id());
  logger_->Log(LogLevel::kDebug, "connection_up",
               {{"link", link->id()},
                {"peer", link->peer().id},
                {"address", link->remote().ToString()},
                {"outgoing", link->outgoing()}});
  events_.on_up(link->id(), link->peer(), link->outgoing());
}

void WebSocketLinkLayer::OnFrame(WebSocketLink* link,
                                 const std::string& frame) {
  events_.on_frame(link->id(), frame);
}

void WebSocketLinkLayer::OnDown(WebSocketLink* link,
                                const Failure& reason,
                                bool was_up) {
  // A connection that fails before its link is up indicates a wrong key or an
  // unreachable peer, so it is logged at level info. A link that was up is also
  // logged as link_down, so debug is enough here.
  logger_->Log(was_up ? LogLevel::kDebug : LogLevel::kInfo, "connection_down",
               {{"link", link->id()},
                {"address", link->remote().ToString()},
                {"outgoing", link->outgoing()},
                {"was_up", was_up},
                {"reason", reason.ToString()}});
  ++end_counts_[std::string(FailureCodeName(reason.code))];
  // An accepted link was not reported to `events_` before its handshake
  // succeeded.
  if (!link->outgoing() && !was_up) {
    return;
  }
  // A link can end from within Send(), for example when the peer has already
  // closed it. A synchronous event would delete the link's state under the
  // sender.
  deferred_tasks_.Post([this, id = link->id(), reason] {
    const auto found = links_.find(id);
    if (found != links_.end() && !found->second->is_closed_locally()) {
      events_.on_down(id, reason);
    }
  });
}

void WebSocketLinkLayer::OnReleased(WebSocketLink* link) {
  Traffic& ended = ended_traffic_[ClassName(*link)];
  ended.sent += link->sent_bytes();
  ended.received += link->received_bytes();
  inbound_count_ -= link->outgoing() ? 0 : 1;
  handshakes_.erase(link->id());
  deferred_tasks_.Post([this, id = link->id()] {
    links_.erase(id);
    if (links_.empty() && on_closed_) {
      std::exchange(on_closed_, nullptr)();
    }
  });
}

}  // namespace dragonflytack
