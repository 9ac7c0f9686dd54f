#include "fleet_emulator/emulated_gateway.h"

#include <utility>

#include "distribution/message_codec.h"
#include "dragonflytack/base/event_loop.h"
#include "dragonflytack/base/hash.h"
#include "dragonflytack/base/logger.h"

namespace dragonflytack {

namespace {
// Below the 3 s without a message after which a link is closed.
constexpr Milliseconds kHeartbeatPeriod{1000};
}  // namespace

EmulatedGateway::EmulatedGateway(const Settings& settings,
                                 EventLoop* loop,
                                 Logger* logger)
    : settings_(settings), loop_(loop), logger_(logger) {}

std::unique_ptr<EmulatedGateway> EmulatedGateway::Make(const Settings& settings,
                                                       EventLoop* loop,
                                                       Logger* logger,
                                                       Failure* reason) {
  std::unique_ptr<EmulatedGateway> gateway(
      new EmulatedGateway(settings, loop, logger));
  LinkOptions options;
  options.shared_key = settings.shared_key;
  gateway->links_ = WebSocketLinkLayer::Make(
      loop, {settings.address, settings.peer_port}, options, logger, reason);
  if (gateway->links_ == nullptr) {
    return nullptr;
  }
  gateway->store_ = HttpStoreClient::Make(
      loop, settings.store, Milliseconds(settings.store_timeout_ms), logger);
  if (gateway->store_ == nullptr) {
    *reason = {FailureCode::kInvalidSetting, settings.store.ToString(),
               "the address of the store is invalid"};
    return nullptr;
  }
  gateway->core_ = std::make_unique<DistributionCore>(
      settings, &loop->timers(), gateway->store_.get(), gateway.get(), logger,
      Hash64(settings.node_id));
  gateway->core_->set_on_routes([](std::shared_ptr<const RouteSnapshot>) {});
  DistributionCore* const core = gateway->core_.get();
  gateway->links_->set_events(
      {[core]() -> const NodeRecord& { return core->self(); },
       [core](LinkId link, const NodeRecord& peer, bool outgoing) {
         core->OnLinkUp(link, peer, outgoing);
       },
       [core](LinkId link, std::string_view frame) {
         core->OnFrame(link, frame);
       },
       [core](LinkId link, const Failure& failure) {
         core->OnLinkDown(link, failure);
       }});
  core->Start();
  return gateway;
}

void EmulatedGateway::OpenInjectionLink(const NodeRecord& peer) {
  core_->OnLinkUp(kInjectionLink, peer, false);
  loop_->timers().SubscribeEvery(kHeartbeatPeriod,
                                 [this] { Inject(HeartbeatMessage{}); });
}

void EmulatedGateway::Inject(const Message& message) {
  core_->OnFrame(kInjectionLink, MessageCodec::Encode(message));
}

LinkId EmulatedGateway::Connect(const HostPort& peer) {
  return links_->Connect(peer);
}

void EmulatedGateway::Close(LinkId link) {
  if (link == kInjectionLink) {
    logger_->Error("injection_closed");
    return;
  }
  links_->Close(link);
}

void EmulatedGateway::Send(LinkId link, std::string frame) {
  if (link != kInjectionLink) {
    links_->Send(link, std::move(frame));
  }
}

size_t EmulatedGateway::QueuedBytes(LinkId link) const {
  return link == kInjectionLink ? 0 : links_->QueuedBytes(link);
}

}  // namespace dragonflytack
