#ifndef DRAGONFLYTACK_NET_WEBSOCKETPP_SESSION_H_
#define DRAGONFLYTACK_NET_WEBSOCKETPP_SESSION_H_

// This header compiles as C++17 and as C++20, because websocketpp, which its
// source file includes, does not compile as C++20 with g++ 12. It includes
// neither websocketpp nor a C++20 header of this project.

#include <cstddef>
#include <memory>
#include <string>

namespace dragonflytack {

// The WebSocket protocol (RFC 6455) of one connection, without I/O: bytes that
// arrive are fed to Read(), bytes to be sent come out through the delegate.
class WebsocketppSession final {
 public:
  // The part of the session that knows websocketpp's types.
  class Impl;

  class Delegate {
   public:
    enum class End { kPeerClosed, kTooLarge, kProtocolError };

    virtual ~Delegate() = default;

    // The opening handshake has succeeded.
    virtual void OnWebSocketOpen() = 0;
    virtual void OnWebSocketMessage(const std::string& payload) = 0;
    virtual void OnWebSocketWrite(const char* data, size_t size) = 0;
    // The session has ended and takes no more bytes. kTooLarge: a message was
    // over the limit.
    virtual void OnWebSocketEnd(End end, const std::string& detail) = 0;
  };

  // `delegate` must outlive the session. Nothing is sent before Start().
  static std::unique_ptr<WebsocketppSession> MakeServer(Delegate* delegate,
                                                        size_t max_message);
  // `authority` is the peer's IP number and port.
  static std::unique_ptr<WebsocketppSession> MakeClient(
      Delegate* delegate,
      size_t max_message,
      const std::string& authority);

  // Makes no further call to the delegate.
  ~WebsocketppSession();
  WebsocketppSession(const WebsocketppSession&) = delete;
  WebsocketppSession& operator=(const WebsocketppSession&) = delete;

  void Start();

  // Feeds bytes from the peer. The delegate may be called, and must not destroy
  // the session from within that call.
  void Read(const char* data, size_t size);

  // Tells that the peer ended the byte stream.
  void EndOfStream();

  // Sends a binary message.
  void Send(const std::string& payload);

  // Begins the closing handshake; `reason` goes to the peer, cut to 120 bytes.
  void Close(const std::string& reason);

  void set_max_message(size_t size);

 private:
  explicit WebsocketppSession(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_NET_WEBSOCKETPP_SESSION_H_
