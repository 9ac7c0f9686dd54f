#ifndef DRAGONFLYTACK_SRC_CALLS_CALL_ADDRESSING_H_
#define DRAGONFLYTACK_SRC_CALLS_CALL_ADDRESSING_H_

#include <optional>

#include "calls/call_result.h"

struct evhttp_request;

namespace dragonflytack {

class Router;
struct CallRequest;

// How the requests of callers name the service that is to run them.
class CallAddressing {
 public:
  virtual ~CallAddressing() = default;

  // Sets the pool, the policy, the maximum time limit and the URI of `call`.
  // Returns the refusal if the table in force has no service for the request.
  // `router` has a table in force.
  virtual std::optional<CallResult> Resolve(Router* router,
                                            evhttp_request* request,
                                            CallRequest* call) const = 0;

 protected:
  // Refuses a request for which the table in force has no route or service.
  // Callers do not repeat a call after 404, so the reason is a different one if
  // a newer version may have it.
  static CallResult RefuseUnrouted(const Router& router, const char* cause);
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_CALLS_CALL_ADDRESSING_H_
