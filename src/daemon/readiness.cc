#include "daemon/readiness.h"

namespace dragonflytack {

void Readiness::set_ready(bool ready) {
  if (ready != ready_) {
    refusals_ = 0;
  }
  ready_ = ready;
}

AdminResponse Readiness::Handle(const AdminRequest& /*request*/) const {
  constexpr int kOk = 200;
  constexpr int kServiceUnavailable = 503;
  if (!ready_ && ++refusals_ == kRefusalsToTurnAway) {
    on_turned_away_();
  }
  return {ready_ ? kOk : kServiceUnavailable, "application/json",
          ready_ ? "{\"ready\":true}" : "{\"ready\":false}"};
}

}  // namespace dragonflytack
