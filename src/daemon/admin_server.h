#ifndef DRAGONFLYTACK_DAEMON_ADMIN_SERVER_H_
#define DRAGONFLYTACK_DAEMON_ADMIN_SERVER_H_

#include <memory>

#include "dragonflytack/base/failure.h"
#include "dragonflytack/base/host_port.h"

struct evhttp;
struct evhttp_request;

namespace dragonflytack {

class AdminHandler;
class EventLoop;

// The HTTP server on the admin port. It answers on the loop's thread.
class AdminServer final {
 public:
  // Returns nothing, with kAddressInUse, when the port cannot be bound. `loop`
  // and `api` must outlive the server.
  static std::unique_ptr<AdminServer> Make(EventLoop* loop,
                                           const HostPort& address,
                                           const AdminHandler* api,
                                           Failure* reason);
  ~AdminServer();
  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;

 private:
  AdminServer(evhttp* server, const AdminHandler* api);
  static void OnRequest(evhttp_request* request, void* self);

  evhttp* const server_;
  const AdminHandler* const api_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_DAEMON_ADMIN_SERVER_H_
