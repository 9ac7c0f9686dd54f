#ifndef DRAGONFLYTACK_DAEMON_ADMIN_SERVER_H_
#define DRAGONFLYTACK_DAEMON_ADMIN_SERVER_H_

#include <memory>
#include <set>

#include "base/input_guard.h"
#include "dragonflytack/base/failure.h"
#include "dragonflytack/base/host_port.h"

struct evhttp;
struct evhttp_request;

namespace dragonflytack {

class AdminHandler;
class EventLoop;
struct AdminResponse;

// An HTTP server on one of the daemon's ports, with one handler for all paths.
// Requests are handled on the loop's thread.
class AdminServer final {
 public:
  static constexpr size_t kMaxHeaderBytes = 16'384;
  // Announcements and requests of operators are far smaller.
  static constexpr size_t kMaxBodyBytes = 4096;

  // Returns null, with kAddressInUse in `reason`, if the port cannot be bound.
  // `loop` and `handler` must outlive the server. Without a guard the input is
  // limited for each request only.
  static std::unique_ptr<AdminServer> Make(
      EventLoop* loop,
      const HostPort& address,
      const AdminHandler* handler,
      Failure* reason,
      std::unique_ptr<InputGuard> guard = nullptr);
  ~AdminServer();
  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;

 private:
  AdminServer(evhttp* server,
              const AdminHandler* handler,
              std::unique_ptr<InputGuard> guard);
  static void OnRequest(evhttp_request* request, void* self);
  // Sends the response. Without a connection this only frees the request.
  void Respond(evhttp_request* request, const AdminResponse& response);

  evhttp* const server_;
  const AdminHandler* const handler_;
  // Null if the server has none.
  const std::unique_ptr<InputGuard> guard_;
  // Requests without a response.
  std::set<evhttp_request*> pending_;
  // Expires with the server, after which responses are dropped.
  const std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_DAEMON_ADMIN_SERVER_H_
