#include "calls/owned_request.h"

#include <cstring>

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

namespace dragonflytack {

HttpRequestPtr CopyRequest(evhttp_request* request, DeferredDeleter* deleter) {
  HttpRequestPtr copy(evhttp_request_new(nullptr, nullptr),
                      HttpRequestDeleter{deleter});
  copy->type = evhttp_request_get_command(request);
  const evkeyvalq* from = evhttp_request_get_input_headers(request);
  evkeyvalq* to = evhttp_request_get_input_headers(copy.get());
  for (const evkeyval* item = from->tqh_first; item != nullptr;
       item = item->next.tqe_next) {
    evhttp_add_header(to, item->key, item->value);
  }
  // Copies the body, because an evbuffer that references another one cannot
  // itself be referenced, as each attempt does.
  evbuffer* body = evhttp_request_get_input_buffer(request);
  const size_t size = evbuffer_get_length(body);
  evbuffer_add(evhttp_request_get_input_buffer(copy.get()),
               evbuffer_pullup(body, -1), size);
  return copy;
}

RequestHead ReadHead(evhttp_request* request) {
  RequestHead head;
  switch (evhttp_request_get_command(request)) {
    case EVHTTP_REQ_GET:
      head.method = "GET";
      break;
    case EVHTTP_REQ_HEAD:
      head.method = "HEAD";
      break;
    case EVHTTP_REQ_OPTIONS:
      head.method = "OPTIONS";
      break;
    default:
      // No other method may overtake.
      break;
  }
  head.uri = evhttp_request_get_uri(request);
  const evkeyvalq* headers = evhttp_request_get_input_headers(request);
  for (const evkeyval* item = headers->tqh_first; item != nullptr;
       item = item->next.tqe_next) {
    head.headers.emplace_back(item->key, item->value);
  }
  return head;
}

HttpRequestPtr MakeRequest(const RequestHead& head, DeferredDeleter* deleter) {
  HttpRequestPtr request(evhttp_request_new(nullptr, nullptr),
                         HttpRequestDeleter{deleter});
  request->type = head.method == "GET"    ? EVHTTP_REQ_GET
                  : head.method == "HEAD" ? EVHTTP_REQ_HEAD
                                          : EVHTTP_REQ_OPTIONS;
  // Freed with the request.
  request->uri = strdup(head.uri.c_str());
  evkeyvalq* headers = evhttp_request_get_input_headers(request.get());
  for (const auto& [name, value] : head.headers) {
    evhttp_add_header(headers, name.c_str(), value.c_str());
  }
  return request;
}

}  // namespace dragonflytack
