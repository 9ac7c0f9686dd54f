#ifndef TOOLS_FLEET_EMULATOR_EMULATED_GATEWAY_H_
#define TOOLS_FLEET_EMULATOR_EMULATED_GATEWAY_H_

#include <cstdint>
#include <limits>
#include <memory>
#include <string>

#include "distribution/messages.h"
#include "dragonflytack/base/settings.h"
#include "dragonflytack/distribution/distribution_core.h"
#include "dragonflytack/distribution/link_layer.h"
#include "net/websocket_link_layer.h"
#include "store/http_store_client.h"

namespace dragonflytack {

class EventLoop;
class Logger;

// A node with a real distribution core and real links, from which real daemons
// receive the records of synthetic nodes. It also has one link without a
// socket, into which messages about the synthetic nodes are injected; the core
// handles them like those of any peer.
class EmulatedGateway final : public LinkLayer {
 public:
  // Returns null if the address is in use or the address of the store is
  // invalid.
  static std::unique_ptr<EmulatedGateway> Make(const Settings& settings,
                                               EventLoop* loop,
                                               Logger* logger,
                                               Failure* reason);
  EmulatedGateway(const EmulatedGateway&) = delete;
  EmulatedGateway& operator=(const EmulatedGateway&) = delete;

  bool joined() const { return core_->table() != nullptr; }

  // Opens the link without a socket as an incoming link from `peer`. The id of
  // `peer` must be smaller than that of the gateway, because the node with the
  // smaller id starts anti-entropy repairs.
  void OpenInjectionLink(const NodeRecord& peer);
  void Inject(const Message& message);

  LinkId Connect(const HostPort& peer) override;
  void Close(LinkId link) override;
  void Send(LinkId link, std::string frame) override;
  size_t QueuedBytes(LinkId link) const override;

 private:
  static constexpr LinkId kInjectionLink = std::numeric_limits<LinkId>::max();

  EmulatedGateway(const Settings& settings, EventLoop* loop, Logger* logger);

  const Settings settings_;
  EventLoop* const loop_;
  Logger* const logger_;
  std::unique_ptr<WebSocketLinkLayer> links_;
  std::unique_ptr<HttpStoreClient> store_;
  std::unique_ptr<DistributionCore> core_;
};

}  // namespace dragonflytack

#endif  // TOOLS_FLEET_EMULATOR_EMULATED_GATEWAY_H_
