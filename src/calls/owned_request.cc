#include "calls/owned_request.h"

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

}  // namespace dragonflytack
