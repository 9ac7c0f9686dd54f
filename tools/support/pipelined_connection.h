#ifndef TOOLS_SUPPORT_PIPELINED_CONNECTION_H_
#define TOOLS_SUPPORT_PIPELINED_CONNECTION_H_

#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <string>

#include "dragonflytack/base/host_port.h"

struct bufferevent;
struct event_base;

namespace dragonflytack {

// A client connection that sends requests before earlier ones are answered. Not
// usable any more after its end; the owner makes a new one.
class PipelinedConnection final {
 public:
  struct Response {
    // 0 if the connection ended without the response.
    int status = 0;
    // Names in lower case.
    std::map<std::string, std::string> headers;
    std::string body;
    // The response before it closed the connection, so that the request has not
    // run.
    bool is_behind_close = false;

    // Returns the value of a header, empty if it is missing.
    std::string Header(const std::string& name) const;
  };
  // Called once for each request, in the order of the requests. Must not
  // destroy the connection.
  using Callback = std::function<void(const Response& response)>;

  // The connection ends if requests are pending and nothing arrives for
  // `timeout`.
  PipelinedConnection(event_base* base,
                      const HostPort& server,
                      std::chrono::milliseconds timeout);
  ~PipelinedConnection();
  PipelinedConnection(const PipelinedConnection&) = delete;
  PipelinedConnection& operator=(const PipelinedConnection&) = delete;

  // Sends a request other than HEAD, given with its head and body.
  void Send(const std::string& request, Callback callback);

  size_t pending() const { return pending_.size(); }
  // The connection is closed, or is being closed by the server.
  bool ended() const { return ended_; }

 private:
  static void OnInput(bufferevent* bufev, void* self);
  static void OnEvent(bufferevent* bufev, short what, void* self);
  // Takes the first response from the input. Returns false if it is incomplete.
  bool TakeResponse(Response* response);
  void End();

  bufferevent* const bufev_;
  const std::chrono::milliseconds timeout_;
  std::deque<Callback> pending_;
  bool ended_ = false;
  // The last response closes the connection.
  bool closed_by_response_ = false;
};

}  // namespace dragonflytack

#endif  // TOOLS_SUPPORT_PIPELINED_CONNECTION_H_
