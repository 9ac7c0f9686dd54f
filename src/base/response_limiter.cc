#include "base/response_limiter.h"

#include <algorithm>
#include <string_view>

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/http_struct.h>

#include "base/buffer_view.h"

namespace dragonflytack {

namespace {

constexpr int kContinue = 100;
constexpr int kSwitchingProtocols = 101;
constexpr int kFirstFinalStatus = 200;

// A server that handles a request sends one or two.
constexpr int kMaxInterimResponses = 8;

// Limit of a line with the size of a chunk and its extensions. Each read
// searches the line from its beginning.
constexpr size_t kMaxLineBytes = 16 << 10;

// Limits of the framing of a chunked body, which may be twice as long as the
// body: a chunk of three bytes has a framing of five. The fixed part leaves
// room for trailers, which evhttp limits, and for short bodies in smaller
// chunks.
constexpr size_t kMaxFramingBytes = 256 << 10;
constexpr size_t kMaxFramingPerByte = 2;

}  // namespace

void ResponseLimiter::Begin(evhttp_request* request) {
  request_ = request;
  status_line_.Begin();
  interim_responses_ = 0;
  chunked_bytes_ = 0;
}

bool ResponseLimiter::AcceptHead() {
  const int status = request_->response_code;
  if (status >= kFirstFinalStatus) {
    return IsFinalStatus(status);
  }
  // 101 has no use here: requests to targets carry no Upgrade header.
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

bool ResponseLimiter::AcceptInput(evbuffer* buffer,
                                  const evbuffer_cb_info& change) {
  if (!status_line_.is_complete() && !AcceptStatusLine(buffer, change)) {
    return false;
  }
  if (!request_->chunked) {
    return true;
  }
  chunked_bytes_ += change.n_added;
  // evhttp has read all lines that were complete, so that the rest is the
  // beginning of a line.
  const bool is_within_line = request_->ntoread < 0;
  return (!is_within_line || change.orig_size <= kMaxLineBytes) &&
         chunked_bytes_ <=
             kMaxFramingBytes + (1 + kMaxFramingPerByte) * request_->body_size;
}

bool ResponseLimiter::AcceptStatusLine(evbuffer* buffer,
                                       const evbuffer_cb_info& change) {
  const auto parts = ViewBytes(buffer, change.orig_size, change.n_added);
  return std::all_of(parts.begin(), parts.end(), [this](std::string_view part) {
    return status_line_.Accept(part);
  });
}

bool ResponseLimiter::IsBodyTooLarge() const {
  // evhttp sets the rest of the chunk to 0 at the last chunk only.
  return !request_->chunked || request_->ntoread != 0;
}

}  // namespace dragonflytack
