#ifndef DRAGONFLYTACK_SRC_CALLS_INBOUND_CALL_H_
#define DRAGONFLYTACK_SRC_CALLS_INBOUND_CALL_H_

#include <functional>
#include <string>
#include <string_view>

#include <event2/http.h>

#include "calls/call_result.h"

namespace dragonflytack {

class CallHeaderCodec;
class ResponseWrites;

// A request that one of this node's servers received and must respond to
// exactly once. Detects if the peer disconnects before the response. Bytes that
// the peer sends in the meantime are read after the response.
class InboundCall final {
 public:
  // `on_disconnect` is called from evhttp's callbacks at most once, never from
  // within a function of this class, and never after the response was sent. It
  // must not destroy the call. `header_codec` must outlive the call. `writes`
  // counts the response and must outlive the connection; it may be null.
  InboundCall(evhttp_request* request,
              const CallHeaderCodec* header_codec,
              std::function<void()> on_disconnect,
              ResponseWrites* writes = nullptr);

  // Reports an unknown outcome if no response was sent.
  ~InboundCall();
  InboundCall(const InboundCall&) = delete;
  InboundCall& operator=(const InboundCall&) = delete;

  evhttp_request* request() const { return request_; }
  const evkeyvalq* headers() const {
    return evhttp_request_get_input_headers(request_);
  }
  // Headers of the response; they may be added until Reply() is called.
  evkeyvalq* response_headers() const {
    return evhttp_request_get_output_headers(request_);
  }
  // Set when `on_disconnect` is called: whether the peer closed the connection
  // or its sending direction, and not this node.
  bool closed_by_peer() const { return closed_by_peer_; }
  bool replied() const { return request_ == nullptr; }

  // Sends the result: the unchanged response of the target, or a JSON body
  // {"error", "detail"} with the header x-reason. The result's body is moved
  // out. request() is null afterwards.
  void Reply(const CallResult& result);

  // Sends the current response_headers() and a body, which is moved out.
  // request() is null afterwards.
  void Reply(int status, evbuffer* body);
  void Reply(int status, const std::string& body);

 private:
  static void OnClosed(evhttp_connection* connection, void* self);

  evhttp_request* request_;
  const CallHeaderCodec* const header_codec_;
  ResponseWrites* const writes_;
  evhttp_connection* connection_;
  std::function<void()> on_disconnect_;
  bool closed_by_peer_ = false;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_CALLS_INBOUND_CALL_H_
