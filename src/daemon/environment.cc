#include "daemon/environment.h"

#include "calls/own_dialect.h"
#include "store/http_store_client.h"

namespace dragonflytack {

Environment Environment::Own() {
  Environment own;
  own.make_store = [](const Settings& settings, EventLoop* loop,
                      Logger* logger) -> std::unique_ptr<StoreClient> {
    return HttpStoreClient::Make(
        loop, settings.store, Milliseconds(settings.store_timeout_ms), logger);
  };
  own.dialect = std::make_shared<OwnDialect>();
  return own;
}

}  // namespace dragonflytack
