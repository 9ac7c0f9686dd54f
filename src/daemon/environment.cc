#include "daemon/environment.h"

#include "calls/native_header_codec.h"
#include "store/http_store_client.h"

namespace dragonflytack {

Environment Environment::Native() {
  Environment native;
  native.make_store = [](const Settings& settings, EventLoop* loop,
                         Logger* logger) -> std::unique_ptr<StoreClient> {
    return HttpStoreClient::Make(
        loop, settings.store, Milliseconds(settings.store_timeout_ms), logger);
  };
  native.header_codec = std::make_shared<NativeHeaderCodec>();
  return native;
}

}  // namespace dragonflytack
