#ifndef DRAGONFLYTACK_DAEMON_ADMIN_HANDLER_H_
#define DRAGONFLYTACK_DAEMON_ADMIN_HANDLER_H_

#include "daemon/admin_request.h"

namespace dragonflytack {

// Handles the requests to one of the daemon's HTTP ports other than the call
// and mesh ports. Does no I/O.
class AdminHandler {
 public:
  virtual ~AdminHandler() = default;

  virtual AdminResponse Handle(const AdminRequest& request) const = 0;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_DAEMON_ADMIN_HANDLER_H_
