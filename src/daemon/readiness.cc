#include "daemon/readiness.h"

namespace dragonflytack {

AdminResponse Readiness::Handle(const AdminRequest& /*request*/) const {
  constexpr int kOk = 200;
  constexpr int kServiceUnavailable = 503;
  return {ready_ ? kOk : kServiceUnavailable, "application/json",
          ready_ ? "{\"ready\":true}" : "{\"ready\":false}"};
}

}  // namespace dragonflytack
