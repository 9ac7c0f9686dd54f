#include "base/response_limiter.h"

#include <event2/http.h>
#include <event2/http_struct.h>

namespace dragonflytack {

namespace {

constexpr int kContinue = 100;
constexpr int kSwitchingProtocols = 101;
constexpr int kFirstFinalStatus = 200;
constexpr int kLastStatus = 999;

// A server that handles a request sends one or two.
constexpr int kMaxInterimResponses = 8;

}  // namespace

void ResponseLimiter::Begin(evhttp_request* request) {
  request_ = request;
  interim_responses_ = 0;
}

bool ResponseLimiter::AcceptHead() {
  const int status = request_->response_code;
  if (status >= kFirstFinalStatus) {
    return status <= kLastStatus;
  }
  // No request asks for another protocol.
  if (status < kContinue || status == kSwitchingProtocols ||
      ++interim_responses_ > kMaxInterimResponses) {
    return false;
  }
  // evhttp would add the headers of the next head to these.
  evhttp_clear_headers(request_->input_headers);
  // evhttp takes every other interim response for the final one.
  request_->response_code = kContinue;
  return true;
}

}  // namespace dragonflytack
