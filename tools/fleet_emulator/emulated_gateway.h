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

// A node of its own with a real core and real links, through which real daemons
// learn of synthetic nodes. It also has one link without a socket, over which
// messages about those are injected; the core treats them as any peer's.
class EmulatedGateway final : public LinkLayer {
 public:
  // Returns nothing when the address is taken or the store's is invalid.
  static std::unique_ptr<EmulatedGateway> Make(const Settings& settings,
                                               EventLoop* loop,
                                               Logger* logger,
                                               Failure* reason);
  EmulatedGateway(const EmulatedGateway&) = delete;
  EmulatedGateway& operator=(const EmulatedGateway&) = delete;

  bool joined() const { return core_->table() != nullptr; }

  // Opens the link without a socket, from `peer`. Its id must be below that of
  // the gateway, because the end with the smaller id begins repairs.
  void OpenInjection(const NodeRecord& peer);
  void Inject(const Message& message);

  LinkId Connect(const HostPort& peer) override;
  void Close(LinkId link) override;
  void Send(LinkId link, std::string frame) override;
  size_t QueuedBytes(LinkId link) const override;

 private:
  static constexpr LinkId kInjection = std::numeric_limits<LinkId>::max();

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
