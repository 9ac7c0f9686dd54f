#ifndef DRAGONFLYTACK_SRC_CALLS_SERVICE_ADDRESSING_H_
#define DRAGONFLYTACK_SRC_CALLS_SERVICE_ADDRESSING_H_

#include "calls/call_addressing.h"

namespace dragonflytack {

// The request names its service: in the header x-service or, without it, in the
// first part of the path, which is not passed on. The routes of the table have
// no effect.
class ServiceAddressing final : public CallAddressing {
 public:
  std::optional<CallResult> Resolve(Router* router,
                                    evhttp_request* request,
                                    CallRequest* call) const override;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_CALLS_SERVICE_ADDRESSING_H_
