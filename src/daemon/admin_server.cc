#include "daemon/admin_server.h"

#include <cstring>
#include <string>
#include <utility>

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/util.h>

#include "base/http_reply.h"
#include "daemon/admin_handler.h"
#include "dragonflytack/base/event_loop.h"

namespace dragonflytack {

namespace {

// Idle connections of operators and metrics collectors are closed.
constexpr int kIdleTimeoutSeconds = 20;
// All methods are passed to the handler, so that it can respond to the wrong
// ones with a typed error.
constexpr uint32_t kAllMethods =
    EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT |
    EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS | EVHTTP_REQ_PATCH;

std::string MethodName(evhttp_cmd_type command) {
  switch (command) {
    case EVHTTP_REQ_GET:
      return "GET";
    case EVHTTP_REQ_POST:
      return "POST";
    default:
      return "other";
  }
}

AdminRequest FromHttp(evhttp_request* http) {
  AdminRequest request;
  request.method = MethodName(evhttp_request_get_command(http));
  const evhttp_uri* const uri = evhttp_request_get_evhttp_uri(http);
  const char* const path = evhttp_uri_get_path(uri);
  request.path = path == nullptr ? "" : path;
  const char* const query = evhttp_uri_get_query(uri);
  evkeyvalq parameters;
  if (query != nullptr && evhttp_parse_query_str(query, &parameters) == 0) {
    for (const evkeyval* item = parameters.tqh_first; item != nullptr;
         item = item->next.tqe_next) {
      request.query[item->key] = item->value;
    }
    evhttp_clear_headers(&parameters);
  }
  const char* const authorization = evhttp_find_header(
      evhttp_request_get_input_headers(http), "authorization");
  request.authorization = authorization == nullptr ? "" : authorization;
  evbuffer* const body = evhttp_request_get_input_buffer(http);
  request.body.resize(evbuffer_get_length(body));
  evbuffer_copyout(body, request.body.data(), request.body.size());
  char* address = nullptr;
  ev_uint16_t port = 0;
  evhttp_connection_get_peer(evhttp_request_get_connection(http), &address,
                             &port);
  request.remote_address = address == nullptr ? "" : address;
  return request;
}

}  // namespace

std::unique_ptr<AdminServer> AdminServer::Make(
    EventLoop* loop,
    const HostPort& address,
    const AdminHandler* handler,
    Failure* reason,
    std::unique_ptr<InputGuard> guard) {
  evhttp* const server = evhttp_new(loop->base());
  evhttp_set_max_headers_size(server, kMaxHeaderBytes);
  evhttp_set_max_body_size(server, kMaxBodyBytes);
  evhttp_set_allowed_methods(server, kAllMethods);
  evhttp_set_timeout(server, kIdleTimeoutSeconds);
  std::unique_ptr<AdminServer> admin(
      new AdminServer(server, handler, std::move(guard)));
  evhttp_set_gencb(server, &AdminServer::OnRequest, admin.get());
  evhttp_bound_socket* const socket = evhttp_bind_socket_with_handle(
      server, address.address.c_str(), address.port);
  if (socket == nullptr) {
    *reason = {FailureCode::kAddressInUse, address.ToString(),
               evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR())};
    return nullptr;
  }
  if (admin->guard_ != nullptr) {
    admin->guard_->Attach(server, socket);
  }
  return admin;
}

AdminServer::AdminServer(evhttp* server,
                         const AdminHandler* handler,
                         std::unique_ptr<InputGuard> guard)
    : server_(server), handler_(handler), guard_(std::move(guard)) {}

AdminServer::~AdminServer() {
  // evhttp frees the requests of open connections only.
  for (evhttp_request* const request : pending_) {
    if (evhttp_request_get_connection(request) == nullptr) {
      evhttp_request_free(request);
    }
  }
  evhttp_free(server_);
}

void AdminServer::OnRequest(evhttp_request* request, void* self) {
  auto* const server = static_cast<AdminServer*>(self);
  if (server->guard_ != nullptr && !server->guard_->OnRequest(request)) {
    evhttp_send_reply(request, HTTP_SERVUNAVAIL, nullptr, nullptr);
    return;
  }
  if (server->guard_ != nullptr && server->guard_->is_short_of_connections()) {
    evhttp_add_header(evhttp_request_get_output_headers(request), "Connection",
                      "close");
  }
  server->pending_.insert(request);
  server->handler_->Handle(
      FromHttp(request),
      [server, request, alive = std::weak_ptr<bool>(server->alive_)](
          const AdminResponse& response) {
        if (!alive.expired()) {
          server->Respond(request, response);
        }
      });
}

void AdminServer::Respond(evhttp_request* request,
                          const AdminResponse& response) {
  pending_.erase(request);
  evhttp_add_header(evhttp_request_get_output_headers(request), "content-type",
                    response.content_type.c_str());
  evbuffer* const body = evbuffer_new();
  evbuffer_add(body, response.body.data(), response.body.size());
  SendHttpReply(request, response.status, body);
  evbuffer_free(body);
}

}  // namespace dragonflytack
