#ifndef DRAGONFLYTACK_DAEMON_READINESS_HANDLER_H_
#define DRAGONFLYTACK_DAEMON_READINESS_HANDLER_H_

#include <functional>
#include <utility>

#include "daemon/admin_handler.h"

namespace dragonflytack {

// Responds to readiness probes: status 200 while a table is in force and no
// stop has begun, 503 otherwise. The prober directs callers to this node only
// while it is ready.
class ReadinessHandler final : public AdminHandler {
 public:
  // Number of consecutive 503 responses after which the prober directs no more
  // callers to this node.
  static constexpr int kUnreadyThreshold = 2;

  // `on_no_more_callers` is called after kUnreadyThreshold 503 responses, from
  // within Handle().
  explicit ReadinessHandler(std::function<void()> on_no_more_callers)
      : on_no_more_callers_(std::move(on_no_more_callers)) {}

  void set_ready(bool ready);
  bool ready() const { return ready_; }

  void Handle(const AdminRequest& request, AdminRespond respond) const override;

 private:
  const std::function<void()> on_no_more_callers_;
  bool ready_ = false;
  // 503 responses since the last change of `ready_`. Mutable because Handle()
  // is const.
  mutable int unready_responses_ = 0;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_DAEMON_READINESS_HANDLER_H_
