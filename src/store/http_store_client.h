#ifndef DRAGONFLYTACK_STORE_HTTP_STORE_CLIENT_H_
#define DRAGONFLYTACK_STORE_HTTP_STORE_CLIENT_H_

#include <functional>
#include <memory>
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

// The object store over HTTP as in docs/store-protocol.md. Connections are kept
// and reused; watches have connections of their own, so that a waiting watch
// delays no other call. A call that finds all connections busy waits, and the
// wait counts towards its timeout. Nothing is ever sent twice.
class HttpStoreClient final : public StoreClient {
 public:
  static constexpr int kMaxConnections = 4;
  static constexpr int kMaxWatches = 8;

  // `timeout` bounds each call; a watch may take this much longer than it
  // waits. `loop` and `logger` must outlive the client. Returns nothing when
  // the address or the timeout is not usable.
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

 private:
  using ResponseCallback = std::function<void(HttpResponse)>;

  HttpStoreClient(EventLoop* loop,
                  const HostPort& store,
                  Milliseconds timeout,
                  Logger* logger);
  // Returns the failure that an answer means; kNone for status 200.
  Failure Judge(const HttpResponse& response, const std::string& key) const;
  void AnswerVersion(const HttpResponse& response,
                     const std::string& key,
                     const VersionCallback& callback) const;
  // Reports a call that is refused without asking the store.
  void Refuse(std::function<void()> report);
  void ListPage(const std::string& prefix,
                const std::string& start_after,
                int limit,
                std::vector<StoreObject> found,
                ListCallback callback);

  EventLoop* const loop_;
  const Milliseconds timeout_;
  const StoreResponseChecker responses_;
  // Timers of Refuse() hold it weakly and do nothing once it is gone.
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
  std::unique_ptr<HttpPool> calls_;
  std::unique_ptr<HttpPool> watches_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_STORE_HTTP_STORE_CLIENT_H_
