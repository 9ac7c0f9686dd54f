#include "net/websocketpp_session.h"

#include <utility>

#include <websocketpp/client.hpp>
#include <websocketpp/concurrency/none.hpp>
#include <websocketpp/config/core.hpp>
#include <websocketpp/config/core_client.hpp>
#include <websocketpp/logger/stub.hpp>
#include <websocketpp/server.hpp>

namespace dragonflytack {

namespace {

// A connection holds this buffer for its whole lifetime. The default of 16 KB
// would be most of an idle link's memory. Heartbeats and deltas fit in 1 KB.
constexpr size_t kReadBufferBytes = 1024;
// The opening handshake has no body.
constexpr size_t kMaxHttpBodyBytes = 1024;
// RFC 6455 allows close reasons of up to 123 bytes.
constexpr size_t kMaxCloseReasonBytes = 120;

// Disables locks, because only one thread uses a session, and websocketpp's own
// logging, because the link layer logs through the daemon's logger. The
// iostream transport has no timers; the link layer limits the time of the
// handshakes.
template <typename Base>
struct SmallConfig : public Base {
  using type = SmallConfig;
  using concurrency_type = websocketpp::concurrency::none;
  using request_type = typename Base::request_type;
  using response_type = typename Base::response_type;
  using message_type = typename Base::message_type;
  using con_msg_manager_type = typename Base::con_msg_manager_type;
  using endpoint_msg_manager_type = typename Base::endpoint_msg_manager_type;
  using alog_type = websocketpp::log::stub;
  using elog_type = websocketpp::log::stub;
  using rng_type =
      websocketpp::random::random_device::int_generator<uint32_t,
                                                        concurrency_type>;

  struct TransportConfig : public Base::transport_config {
    using concurrency_type = websocketpp::concurrency::none;
    using alog_type = websocketpp::log::stub;
    using elog_type = websocketpp::log::stub;
    using request_type = typename Base::request_type;
    using response_type = typename Base::response_type;
    static constexpr bool enable_multithreading = false;
  };
  // Names that websocketpp requires.
  using transport_config = TransportConfig;
  using transport_type =
      websocketpp::transport::iostream::endpoint<transport_config>;

  static constexpr bool enable_multithreading = false;
  static constexpr long timeout_open_handshake = 0;
  static constexpr long timeout_close_handshake = 0;
  static constexpr size_t connection_read_buffer_size = kReadBufferBytes;
  static constexpr size_t max_http_body_size = kMaxHttpBodyBytes;
  static constexpr bool drop_on_protocol_error = true;
};

using Server = websocketpp::server<SmallConfig<websocketpp::config::core>>;
using Client =
    websocketpp::client<SmallConfig<websocketpp::config::core_client>>;
using Handle = websocketpp::connection_hdl;
using ErrorCode = websocketpp::lib::error_code;

// The endpoints only create connections and hold none.
Server& SharedServer() {
  static Server server;
  return server;
}

Client& SharedClient() {
  static Client client;
  return client;
}

}  // namespace

class WebsocketppSession::Impl {
 public:
  virtual ~Impl() = default;
  virtual void Start() = 0;
  virtual void Read(const char* data, size_t size) = 0;
  virtual void Send(const std::string& payload) = 0;
  virtual void Close(const std::string& reason) = 0;
  virtual void SetMaxMessageBytes(size_t size) = 0;
};

namespace {

template <typename Endpoint>
class ImplFor final : public WebsocketppSession::Impl {
 public:
  using ConnectionPtr = typename Endpoint::connection_ptr;
  using EndCause = WebsocketppSession::Delegate::EndCause;

  ImplFor(WebsocketppSession::Delegate* delegate,
          ConnectionPtr connection,
          size_t max_message_bytes)
      : delegate_(delegate), connection_(std::move(connection)) {
    connection_->set_max_message_size(max_message_bytes);
    connection_->set_open_handler(
        [this](Handle) { delegate_->OnWebSocketOpen(); });
    connection_->set_message_handler(
        [this](Handle, typename Endpoint::message_ptr message) {
          if (message->get_opcode() != websocketpp::frame::opcode::binary) {
            Finish(EndCause::kProtocolError,
                   "the message is not a binary message");
            return;
          }
          delegate_->OnWebSocketMessage(message->get_payload());
        });
    connection_->set_write_handler(
        [this](Handle, const char* data, size_t size) {
          delegate_->OnWebSocketWrite(data, size);
          return ErrorCode();
        });
    connection_->set_fail_handler([this](Handle) { EndWithError(); });
    connection_->set_close_handler([this](Handle) { EndWithError(); });
  }

  ~ImplFor() override {
    ended_ = true;
    connection_->set_open_handler(nullptr);
    connection_->set_message_handler(nullptr);
    connection_->set_fail_handler(nullptr);
    connection_->set_close_handler(nullptr);
    connection_->set_write_handler(
        [](Handle, const char*, size_t) { return ErrorCode(); });
    // Ends the pending read, which holds a reference to the connection.
    connection_->fatal_error();
  }

  void Start() override;

  void Read(const char* data, size_t size) override {
    const size_t taken = connection_->read_all(data, size);
    // A client connection of websocketpp calls its close handler only once the
    // stream has ended, but accepts no message after the peer's close frame.
    if (taken < size || HasPeerClosed()) {
      EndWithError();
    }
  }

  void Send(const std::string& payload) override {
    const ErrorCode error =
        connection_->send(payload, websocketpp::frame::opcode::binary);
    if (error) {
      Finish(EndCause::kProtocolError, error.message());
    }
  }

  void Close(const std::string& reason) override {
    // websocketpp ends the session once the close frame is written. The
    // delegate requested that and is not called.
    ended_ = true;
    ErrorCode error;
    connection_->close(websocketpp::close::status::going_away,
                       reason.substr(0, kMaxCloseReasonBytes), error);
  }

  void SetMaxMessageBytes(size_t size) override {
    connection_->set_max_message_size(size);
  }

 private:
  bool HasPeerClosed() const {
    return connection_->get_remote_close_code() !=
           websocketpp::close::status::abnormal_close;
  }

  void EndWithError() {
    namespace processor = websocketpp::processor;
    const ErrorCode error = connection_->get_ec();
    if (HasPeerClosed()) {
      Finish(EndCause::kPeerClosed, connection_->get_remote_close_reason());
    } else if (error == processor::error::make_error_code(
                            processor::error::message_too_big)) {
      Finish(EndCause::kTooLarge, error.message());
    } else {
      Finish(EndCause::kProtocolError, error.message());
    }
  }

  void Finish(EndCause cause, const std::string& detail) {
    if (!ended_) {
      ended_ = true;
      delegate_->OnWebSocketEnd(cause, detail);
    }
  }

  WebsocketppSession::Delegate* const delegate_;
  const ConnectionPtr connection_;
  bool ended_ = false;
};

template <>
void ImplFor<Server>::Start() {
  connection_->start();
}

template <>
void ImplFor<Client>::Start() {
  SharedClient().connect(connection_);
}

}  // namespace

WebsocketppSession::WebsocketppSession(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl)) {}

WebsocketppSession::~WebsocketppSession() = default;

std::unique_ptr<WebsocketppSession> WebsocketppSession::MakeServer(
    Delegate* delegate,
    size_t max_message_bytes) {
  return std::unique_ptr<WebsocketppSession>(
      new WebsocketppSession(std::make_unique<ImplFor<Server>>(
          delegate, SharedServer().get_connection(), max_message_bytes)));
}

std::unique_ptr<WebsocketppSession> WebsocketppSession::MakeClient(
    Delegate* delegate,
    size_t max_message_bytes,
    const std::string& authority) {
  ErrorCode error;
  Client::connection_ptr connection =
      SharedClient().get_connection("ws://" + authority + "/", error);
  if (!connection) {
    return nullptr;
  }
  return std::unique_ptr<WebsocketppSession>(
      new WebsocketppSession(std::make_unique<ImplFor<Client>>(
          delegate, std::move(connection), max_message_bytes)));
}

void WebsocketppSession::Start() {
  impl_->Start();
}

void WebsocketppSession::Read(const char* data, size_t size) {
  impl_->Read(data, size);
}

void WebsocketppSession::Send(const std::string& payload) {
  impl_->Send(payload);
}

void WebsocketppSession::Close(const std::string& reason) {
  impl_->Close(reason);
}

void WebsocketppSession::set_max_message_bytes(size_t size) {
  impl_->SetMaxMessageBytes(size);
}

}  // namespace dragonflytack
