#include "daemon/environment.h"

#include "calls/native_header_codec.h"
#include "calls/route_addressing.h"
#include "calls/service_addressing.h"
#include "dragonflytack/base/event_loop.h"
#include "store/http_store_client.h"
#include "store/store_rollout_orders.h"

namespace dragonflytack {

Environment Environment::Native() {
  Environment native;
  native.make_store = [](const Settings& settings, EventLoop* loop,
                         Logger* logger) -> std::unique_ptr<StoreClient> {
    return HttpStoreClient::Make(
        loop, settings.store, Milliseconds(settings.store_timeout_ms), logger);
  };
  native.make_rollout_orders = [](const Settings&, EventLoop* loop,
                                  StoreClient* store) {
    return std::make_unique<StoreRolloutOrders>(store, &loop->timers());
  };
  native.make_call_interface = [](const Settings& settings) {
    CallInterface native_interface;
    native_interface.has_one_time_keys = true;
    native_interface.headers = std::make_shared<NativeHeaderCodec>();
    if (settings.routes_calls) {
      native_interface.addressing = std::make_shared<RouteAddressing>();
    } else {
      native_interface.addressing = std::make_shared<ServiceAddressing>();
    }
    return native_interface;
  };
  return native;
}

}  // namespace dragonflytack
