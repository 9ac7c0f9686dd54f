#ifndef DRAGONFLYTACK_SRC_BASE_RESPONSE_LIMITER_H_
#define DRAGONFLYTACK_SRC_BASE_RESPONSE_LIMITER_H_

struct evhttp_request;

namespace dragonflytack {

// Limits what a server can send in response to one request where evhttp has no
// limit. evhttp itself limits each head, the trailers and the body.
class ResponseLimiter final {
 public:
  // Starts with a new request, which must outlive the calls of AcceptHead().
  void Begin(evhttp_request* request);

  // Called for each head, also that of an interim response (1xx). Makes evhttp
  // skip an interim response without keeping its headers. Returns false if the
  // status is invalid or there are too many interim responses.
  bool AcceptHead();

 private:
  evhttp_request* request_ = nullptr;
  int interim_responses_ = 0;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_BASE_RESPONSE_LIMITER_H_
