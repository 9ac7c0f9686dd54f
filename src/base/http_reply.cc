#include "base/http_reply.h"

#include <string>

#include <event2/buffer.h>
#include <event2/http.h>

namespace dragonflytack {

namespace {

constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

}  // namespace

void SendHttpReply(evhttp_request* request, int status, evbuffer* body) {
  if (evhttp_request_get_command(request) == EVHTTP_REQ_HEAD) {
    evbuffer_drain(body, evbuffer_get_length(body));
  } else if (status != kNoContent && status != kNotModified) {
    evkeyvalq* headers = evhttp_request_get_output_headers(request);
    if (evhttp_find_header(headers, "Content-Length") == nullptr) {
      evhttp_add_header(headers, "Content-Length",
                        std::to_string(evbuffer_get_length(body)).c_str());
    }
  }
  evhttp_send_reply(request, status, nullptr, body);
}

}  // namespace dragonflytack
