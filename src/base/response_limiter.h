#ifndef DRAGONFLYTACK_SRC_BASE_RESPONSE_LIMITER_H_
#define DRAGONFLYTACK_SRC_BASE_RESPONSE_LIMITER_H_

#include <cstddef>

#include "base/status_line_checker.h"

struct evbuffer;
struct evbuffer_cb_info;
struct evhttp_request;

namespace dragonflytack {

// Limits what a server can send in response to one request where evhttp has no
// limit, and checks the status. evhttp itself limits each head, the trailers
// and the body.
class ResponseLimiter final {
 public:
  // Starts with a new request, which must outlive the calls of the other
  // functions.
  void Begin(evhttp_request* request);

  // Called for each head, also that of an interim response (1xx). Makes evhttp
  // skip an interim response without keeping its headers. Returns false if the
  // status is invalid or there are too many interim responses.
  bool AcceptHead();

  // Called when bytes were added to the connection's input buffer, before
  // evhttp reads from it. Returns false if a status is not valid, a
  // chunked body consists of little else than its framing, or a line of the
  // framing is too long.
  bool AcceptInput(evbuffer* buffer, const evbuffer_cb_info& change);

  // Returns whether a response that evhttp reports as too long exceeds the
  // limit of the body, not that of the trailers.
  bool IsBodyTooLarge() const;

 private:
  bool AcceptStatusLine(evbuffer* buffer, const evbuffer_cb_info& change);

  evhttp_request* request_ = nullptr;
  StatusLineChecker status_line_;
  int interim_responses_ = 0;
  // Bytes received since the head of a chunked response.
  size_t chunked_bytes_ = 0;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_BASE_RESPONSE_LIMITER_H_
