#ifndef DRAGONFLYTACK_SRC_CALLS_OWNED_REQUEST_H_
#define DRAGONFLYTACK_SRC_CALLS_OWNED_REQUEST_H_

#include "calls/call_result.h"

namespace dragonflytack {

// Copies method, headers and body of a one-time call, so that it continues and
// its response is recorded if the caller disconnects.
HttpRequestPtr CopyRequest(evhttp_request* request, DeferredDeleter* deleter);

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_CALLS_OWNED_REQUEST_H_
