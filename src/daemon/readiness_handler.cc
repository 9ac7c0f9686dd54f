#include "daemon/readiness_handler.h"

namespace dragonflytack {

void ReadinessHandler::set_ready(bool ready) {
  if (ready != ready_) {
    unready_responses_ = 0;
  }
  ready_ = ready;
}

void ReadinessHandler::Handle(const AdminRequest& /*request*/,
                              AdminRespond respond) const {
  constexpr int kOk = 200;
  constexpr int kServiceUnavailable = 503;
  if (!ready_ && ++unready_responses_ == kUnreadyThreshold) {
    on_no_more_callers_();
  }
  respond({ready_ ? kOk : kServiceUnavailable, "application/json",
           ready_ ? "{\"ready\":true}" : "{\"ready\":false}"});
}

}  // namespace dragonflytack
