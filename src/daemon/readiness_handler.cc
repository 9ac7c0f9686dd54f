#include "daemon/readiness_handler.h"

namespace dragonflytack {

void ReadinessHandler::set_ready(bool ready) {
  if (ready != ready_) {
    unready_responses_ = 0;
  }
  ready_ = ready;
}

AdminResponse ReadinessHandler::Handle(const AdminRequest& /*request*/) const {
  constexpr int kOk = 200;
  constexpr int kServiceUnavailable = 503;
  if (!ready_ && ++unready_responses_ == kUnreadyThreshold) {
    on_no_more_callers_();
  }
  return {ready_ ? kOk : kServiceUnavailable, "application/json",
          ready_ ? "{\"ready\":true}" : "{\"ready\":false}"};
}

}  // namespace dragonflytack
