#ifndef DRAGONFLYTACK_SRC_CALLS_ROUTE_ADDRESSING_H_
#define DRAGONFLYTACK_SRC_CALLS_ROUTE_ADDRESSING_H_

#include "calls/call_addressing.h"

namespace dragonflytack {

// The header Host and the path select a route of the table. A table without
// routes has no service for any request.
class RouteAddressing final : public CallAddressing {
 public:
  std::optional<CallResult> Resolve(Router* router,
                                    evhttp_request* request,
                                    CallRequest* call) const override;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_CALLS_ROUTE_ADDRESSING_H_
