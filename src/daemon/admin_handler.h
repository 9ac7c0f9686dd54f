#ifndef DRAGONFLYTACK_DAEMON_ADMIN_HANDLER_H_
#define DRAGONFLYTACK_DAEMON_ADMIN_HANDLER_H_

#include "daemon/admin_request.h"

namespace dragonflytack {

// Answers the requests of one of the daemon's control ports. It does no I/O.
class AdminHandler {
 public:
  virtual ~AdminHandler() = default;

  virtual AdminResponse Handle(const AdminRequest& request) const = 0;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_DAEMON_ADMIN_HANDLER_H_
