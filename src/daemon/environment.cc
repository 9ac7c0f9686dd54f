#include "daemon/environment.h"

#include "calls/native_header_codec.h"
#include "store/http_store_client.h"

namespace dragonflytack {

Environment Environment::Own() {
  Environment own;
  own.make_store = [](const Settings& settings, EventLoop* loop,
                      Logger* logger) -> std::unique_ptr<StoreClient> {
    return HttpStoreClient::Make(
        loop, settings.store, Milliseconds(settings.store_timeout_ms), logger);
  };
  own.header_codec = std::make_shared<NativeHeaderCodec>();
  return own;
}

}  // namespace dragonflytack
