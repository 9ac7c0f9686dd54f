#ifndef DRAGONFLYTACK_NET_WEBSOCKETPP_SESSION_H_
#define DRAGONFLYTACK_NET_WEBSOCKETPP_SESSION_H_

// This header compiles as C++17 and as C++20, because websocketpp, which its
// source file includes, does not compile as C++20 with g++ 12. It includes
// neither websocketpp nor a C++20 header of this project.

#include <cstddef>
#include <memory>
#include <string>

namespace dragonflytack {

// The WebSocket protocol (RFC 6455) of one connection, without I/O: received
// bytes are passed to Read(), and bytes to send are passed to the delegate.
class WebsocketppSession final {
 public:
  // The implementation, which uses websocketpp's types.
  class Impl;

  class Delegate {
   public:
    enum class EndCause { kPeerClosed, kTooLarge, kProtocolError };

    virtual ~Delegate() = default;

    // The opening handshake has succeeded.
    virtual void OnWebSocketOpen() = 0;
    virtual void OnWebSocketMessage(const std::string& payload) = 0;
    virtual void OnWebSocketWrite(const char* data, size_t size) = 0;
    // The session has ended and accepts no more bytes. The cause is kTooLarge
    // if a message exceeded the limit.
    virtual void OnWebSocketEnd(EndCause cause, const std::string& detail) = 0;
  };

  // `delegate` must outlive the session. Nothing is sent before Start().
  static std::unique_ptr<WebsocketppSession> MakeServer(
      Delegate* delegate,
      size_t max_message_bytes);
  // `authority` is the peer's IP address and port. Returns null if it is not
  // valid.
  static std::unique_ptr<WebsocketppSession> MakeClient(
      Delegate* delegate,
      size_t max_message_bytes,
      const std::string& authority);

  // Makes no call to the delegate.
  ~WebsocketppSession();
  WebsocketppSession(const WebsocketppSession&) = delete;
  WebsocketppSession& operator=(const WebsocketppSession&) = delete;

  void Start();

  // Processes bytes from the peer. May call the delegate, which must not
  // destroy the session from within that call.
  void Read(const char* data, size_t size);

  // Sends a binary message.
  void Send(const std::string& payload);

  // Starts the closing handshake and sends `reason` to the peer, truncated to
  // 120 bytes.
  void Close(const std::string& reason);

  void set_max_message_bytes(size_t size);

 private:
  explicit WebsocketppSession(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_NET_WEBSOCKETPP_SESSION_H_
