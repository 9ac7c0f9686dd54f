#include "support/http_batch.h"

#include <utility>

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include "dragonflytack/base/timeval.h"

namespace dragonflytack {

namespace {

struct Batch {
  event_base* base;
  size_t unfinished;
};

struct PendingExchange {
  Batch* batch;
  HttpExchange* exchange;
};

evhttp_cmd_type CommandOf(const std::string& method) {
  if (method == "PUT") {
    return EVHTTP_REQ_PUT;
  }
  return method == "POST" ? EVHTTP_REQ_POST : EVHTTP_REQ_GET;
}

void OnResponse(evhttp_request* request, void* context) {
  auto* pending = static_cast<PendingExchange*>(context);
  if (request != nullptr) {
    HttpExchange& exchange = *pending->exchange;
    exchange.status = evhttp_request_get_response_code(request);
    evbuffer* body = evhttp_request_get_input_buffer(request);
    exchange.response.resize(evbuffer_get_length(body));
    evbuffer_copyout(body, exchange.response.data(), exchange.response.size());
    const evkeyvalq* headers = evhttp_request_get_input_headers(request);
    for (const evkeyval* header = headers->tqh_first; header != nullptr;
         header = header->next.tqe_next) {
      exchange.response_headers[header->key] = header->value;
    }
  }
  if (--pending->batch->unfinished == 0) {
    event_base_loopbreak(pending->batch->base);
  }
}

}  // namespace

void RunHttpBatch(std::vector<HttpExchange>* exchanges, int timeout_ms) {
  if (exchanges->empty()) {
    return;
  }
  event_base* base = event_base_new();
  Batch batch{base, exchanges->size()};
  std::vector<PendingExchange> pending;
  pending.reserve(exchanges->size());
  std::vector<evhttp_connection*> connections;
  const timeval timeout = ToTimeval(std::chrono::milliseconds(timeout_ms));
  for (HttpExchange& exchange : *exchanges) {
    pending.push_back({&batch, &exchange});
    evhttp_connection* connection = evhttp_connection_base_new(
        base, nullptr, exchange.server.address.c_str(), exchange.server.port);
    connections.push_back(connection);
    evhttp_connection_set_timeout_tv(connection, &timeout);
    evhttp_request* request = evhttp_request_new(&OnResponse, &pending.back());
    evkeyvalq* headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Host", exchange.server.ToString().c_str());
    for (const auto& [name, value] : exchange.headers) {
      evhttp_add_header(headers, name.c_str(), value.c_str());
    }
    if (!exchange.body.empty()) {
      evbuffer_add(evhttp_request_get_output_buffer(request),
                   exchange.body.data(), exchange.body.size());
    }
    evhttp_make_request(connection, request, CommandOf(exchange.method),
                        exchange.path.c_str());
  }
  event_base_loopexit(base, &timeout);
  event_base_dispatch(base);
  for (evhttp_connection* connection : connections) {
    evhttp_connection_free(connection);
  }
  event_base_free(base);
}

HttpExchange RunHttp(HttpExchange exchange, int timeout_ms) {
  std::vector<HttpExchange> exchanges;
  exchanges.push_back(std::move(exchange));
  RunHttpBatch(&exchanges, timeout_ms);
  return std::move(exchanges.front());
}

}  // namespace dragonflytack
