#ifndef DRAGONFLYTACK_DAEMON_READINESS_H_
#define DRAGONFLYTACK_DAEMON_READINESS_H_

#include "daemon/admin_handler.h"

namespace dragonflytack {

// Tells whoever sends callers to this node whether it can take them: status 200
// once a table is in force and until a stop begins, 503 otherwise.
class Readiness final : public AdminHandler {
 public:
  void set_ready(bool ready) { ready_ = ready; }
  bool ready() const { return ready_; }

  AdminResponse Handle(const AdminRequest& request) const override;

 private:
  bool ready_ = false;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_DAEMON_READINESS_H_
