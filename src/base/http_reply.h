#ifndef DRAGONFLYTACK_SRC_BASE_HTTP_REPLY_H_
#define DRAGONFLYTACK_SRC_BASE_HTTP_REPLY_H_

struct evbuffer;
struct evhttp_request;

namespace dragonflytack {

// Sends the response to a request with the headers that it has, and a body,
// which is moved out. A response to HEAD is sent without the body: evhttp would
// send it, and the peer would take it for the next response. Each other one has
// a Content-Length: evhttp adds none for peers that use HTTP/1.0, which would
// take a response that is cut off for a whole one.
void SendHttpReply(evhttp_request* request, int status, evbuffer* body);

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_BASE_HTTP_REPLY_H_
