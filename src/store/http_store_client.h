#ifndef DRAGONFLYTACK_STORE_HTTP_STORE_CLIENT_H_
#define DRAGONFLYTACK_STORE_HTTP_STORE_CLIENT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "dragonflytack/base/host_port.h"
#include "dragonflytack/store/store_client.h"
#include "store/store_response_checker.h"

namespace dragonflytack {

class EventLoop;
class HttpPool;
class Logger;
struct HttpResponse;
struct HttpRequest;

// Client of the object store over HTTP, as specified in docs/store-protocol.md.
// Connections are persistent. Watches use separate connections, so that a
// pending watch does not delay other calls. A call waits while all connections
// are busy, and the wait counts towards its timeout. No request is ever sent
// twice.
class HttpStoreClient final : public StoreClient {
 public:
  static constexpr int kMaxConnections = 4;
  static constexpr int kMaxWatches = 8;

  // `timeout` limits each request; for a watch it is added to the timeout of
  // the watch itself. `loop` and `logger` must outlive the client. Returns null
  // if the address is empty, the port is 0, or the timeout is not positive.
  static std::unique_ptr<HttpStoreClient> Make(EventLoop* loop,
                                               const HostPort& store,
                                               Milliseconds timeout,
                                               Logger* logger);
  ~HttpStoreClient() override;

  void Get(const std::string& key, ObjectCallback callback) override;
  void Put(const std::string& key,
           const std::string& value,
           StoreVersion if_version,
           VersionCallback callback) override;
  void Delete(const std::string& key,
              StoreVersion if_version,
              VersionCallback callback) override;
  void Watch(const std::string& key,
             StoreVersion after,
             Milliseconds timeout,
             VersionCallback callback) override;
  void List(const std::string& prefix,
            const std::string& start_after,
            int limit,
            ListCallback callback) override;
  std::optional<uint64_t> era() const override { return era_; }

 private:
  using ResponseCallback = std::function<void(HttpResponse)>;

  HttpStoreClient(EventLoop* loop,
                  const HostPort& store,
                  Milliseconds timeout,
                  Logger* logger);
  // Sends the request and records the era in the response.
  void Send(HttpPool* pool,
            HttpRequest request,
            Milliseconds timeout,
            ResponseCallback callback);
  // Returns the header that makes a request conditional on the era of the last
  // response that had one, if any.
  std::map<std::string, std::string> EraHeaders() const;
  // Returns the headers of a write on the condition of a version and of the
  // era. Without the latter, a write that follows a read could take effect on a
  // copy that lacks later versions.
  std::map<std::string, std::string> WriteHeaders(
      StoreVersion if_version) const;
  // Returns the failure that the response represents, or kNone for status 200.
  Failure CheckResponse(const HttpResponse& response,
                        const std::string& key) const;
  void HandleVersionResponse(const HttpResponse& response,
                             const std::string& key,
                             const VersionCallback& callback) const;
  // Sends watch requests until one reports a change or a failure, or until the
  // time `end`.
  void WatchUntil(const std::string& key,
                  StoreVersion after,
                  TimePoint end,
                  VersionCallback callback);
  // Calls `report` on a later turn of the loop, for a call that is rejected
  // without a request to the store.
  void RejectLater(std::function<void()> report);
  void ListPage(const std::string& prefix,
                const std::string& start_after,
                int limit,
                std::vector<StoreObject> found,
                ListCallback callback);

  EventLoop* const loop_;
  const Milliseconds timeout_;
  const StoreResponseChecker responses_;
  std::optional<uint64_t> era_;
  // Timers of RejectLater() hold a weak pointer to it and do nothing once the
  // client is destroyed.
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
  std::unique_ptr<HttpPool> request_pool_;
  std::unique_ptr<HttpPool> watch_pool_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_STORE_HTTP_STORE_CLIENT_H_
