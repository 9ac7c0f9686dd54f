#ifndef DRAGONFLYTACK_SRC_CALLS_OWNED_REQUEST_H_
#define DRAGONFLYTACK_SRC_CALLS_OWNED_REQUEST_H_

#include "calls/call_result.h"

namespace dragonflytack {

// Copies method, headers and body, so that a dispatched one-time call goes on
// and its answer is recorded when its caller hangs up.
HttpRequestPtr CopyRequest(evhttp_request* request, DeferredDeleter* deleter);

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_CALLS_OWNED_REQUEST_H_
