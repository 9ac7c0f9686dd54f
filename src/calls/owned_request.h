#ifndef DRAGONFLYTACK_SRC_CALLS_OWNED_REQUEST_H_
#define DRAGONFLYTACK_SRC_CALLS_OWNED_REQUEST_H_

#include "calls/call_result.h"
#include "calls/request_head.h"

namespace dragonflytack {

// Copies method, headers and body of a one-time call, so that it continues and
// its response is recorded if the caller disconnects.
HttpRequestPtr CopyRequest(evhttp_request* request, DeferredDeleter* deleter);

// Returns method, URI and headers of a request as evhttp has parsed them.
RequestHead ReadHead(evhttp_request* request);

// Makes a request without a connection from a head that may overtake others.
HttpRequestPtr MakeRequest(const RequestHead& head, DeferredDeleter* deleter);

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_CALLS_OWNED_REQUEST_H_
