#ifndef DRAGONFLYTACK_TESTS_FAKE_NODE_H_
#define DRAGONFLYTACK_TESTS_FAKE_NODE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include <event2/buffer.h>
#include <event2/http.h>
#include <netinet/in.h>
#include <nlohmann/json.hpp>

#include "dragonflytack/base/event_loop.h"
#include "dragonflytack/base/host_port.h"

namespace dragonflytack {

// Admin port of a node that returns a fixed JSON text for each path and query.
class FakeNode final {
 public:
  explicit FakeNode(EventLoop* loop) : server_(evhttp_new(loop->base())) {
    evhttp_bound_socket* socket =
        evhttp_bind_socket_with_handle(server_, "127.0.0.1", 0);
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    getsockname(evhttp_bound_socket_get_fd(socket),
                reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
    evhttp_set_gencb(server_, &FakeNode::OnRequest, this);
  }
  ~FakeNode() { evhttp_free(server_); }
  FakeNode(const FakeNode&) = delete;
  FakeNode& operator=(const FakeNode&) = delete;

  HostPort address() const { return HostPort{"127.0.0.1", port_}; }

  // Returns the entry for this node in GET /nodes of another node.
  nlohmann::json Record(const std::string& id,
                        const std::string& state,
                        const std::string& liveness) const {
    return {{"id", id},
            {"region", "north"},
            {"data_centre", "north-1"},
            {"address", "127.0.0.1"},
            {"admin_port", port_},
            {"state", state},
            {"liveness", liveness}};
  }

  std::map<std::string, nlohmann::json> responses;
  // Value that the header authorization of requests must have; if empty, the
  // header must be missing or empty.
  std::string authorization;
  std::function<void()> on_request = [] {};

 private:
  static void OnRequest(evhttp_request* request, void* self) {
    auto* node = static_cast<FakeNode*>(self);
    node->on_request();
    const char* given = evhttp_find_header(
        evhttp_request_get_input_headers(request), "authorization");
    const auto found = node->responses.find(evhttp_request_get_uri(request));
    int status = found == node->responses.end() ? 404 : 200;
    if (node->authorization != (given == nullptr ? "" : given)) {
      status = 401;
    }
    evbuffer* body = evbuffer_new();
    const std::string text = status == 200 ? found->second.dump() : "{}";
    evbuffer_add(body, text.data(), text.size());
    evhttp_send_reply(request, status, nullptr, body);
    evbuffer_free(body);
  }

  evhttp* const server_;
  uint16_t port_ = 0;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_TESTS_FAKE_NODE_H_
