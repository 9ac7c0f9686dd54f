#ifndef DRAGONFLYTACK_DAEMON_ADMIN_HANDLER_H_
#define DRAGONFLYTACK_DAEMON_ADMIN_HANDLER_H_

#include <functional>

#include "daemon/admin_request.h"

namespace dragonflytack {

using AdminRespond = std::function<void(const AdminResponse&)>;

// Handles the requests to one of the daemon's HTTP ports other than the call
// and mesh ports. Does no I/O.
class AdminHandler {
 public:
  virtual ~AdminHandler() = default;

  // Calls `respond` once, before it returns or later on the same thread. After
  // the end of the server it has no effect.
  virtual void Handle(const AdminRequest& request,
                      AdminRespond respond) const = 0;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_DAEMON_ADMIN_HANDLER_H_
