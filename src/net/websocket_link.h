#ifndef DRAGONFLYTACK_NET_WEBSOCKET_LINK_H_
#define DRAGONFLYTACK_NET_WEBSOCKET_LINK_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>

#include "dragonflytack/base/failure.h"
#include "dragonflytack/base/host_port.h"
#include "dragonflytack/base/timer_service.h"
#include "dragonflytack/distribution/link_id.h"
#include "dragonflytack/registry/node_record.h"
#include "dragonflytack/statechart/chart_machine.h"
#include "net/link_handshake.h"
#include "net/websocketpp_session.h"

struct bufferevent;

namespace dragonflytack {

struct LinkOptions;

// One connection to a peer. The state chart charts/peer_link.scxml controls its
// lifecycle; the private members declared under "Actions of the chart" are that
// chart's actions.
class WebSocketLink final : public WebsocketppSession::Delegate {
 public:
  // Supplies this node's record to a link and receives its events. OnReleased()
  // must not destroy the link directly, because a member function of the link
  // is still running.
  class Delegate {
   public:
    virtual ~Delegate() = default;
    virtual const NodeRecord& SelfRecord() = 0;
    virtual void OnUp(WebSocketLink* link) = 0;
    virtual void OnFrame(WebSocketLink* link, const std::string& frame) = 0;
    // The link ended without Close(). `was_up` is true if OnUp() was called
    // before. May be called from within Send(), so that the layer has to defer
    // its report to the core.
    virtual void OnDown(WebSocketLink* link,
                        const Failure& reason,
                        bool was_up) = 0;
    virtual void OnReleased(WebSocketLink* link) = 0;
  };

  // Takes ownership of `socket`. `remote` is the address of the peer.
  // `options`, `timers` and `delegate` must outlive the link.
  WebSocketLink(LinkId id,
                bool outgoing,
                const HostPort& remote,
                bufferevent* socket,
                const LinkOptions& options,
                TimerService* timers,
                Delegate* delegate);
  ~WebSocketLink() override;
  WebSocketLink(const WebSocketLink&) = delete;
  WebSocketLink& operator=(const WebSocketLink&) = delete;

  // Connects an outgoing link, or starts the handshake of an accepted one.
  void Start();

  // Queues a frame if the link is up. If the frame is too large or the queue
  // full, the link fails on a later turn of the loop. If the session refuses
  // the frame, the link fails from within this call.
  void Send(const std::string& frame);

  // Ends the link without a call of OnDown(), also if the end was not reported
  // yet.
  void Close();

  // Ends the link at once, without waiting for the peer, as kOverloaded. Calls
  // OnDown() and OnReleased() if they were not called yet.
  void Abort(const std::string& detail);

  LinkId id() const { return id_; }
  bool outgoing() const { return outgoing_; }
  const HostPort& remote() const { return remote_; }
  // The record in the peer's hello; valid from OnUp() on.
  const NodeRecord& peer() const { return handshake_->peer(); }
  const std::string& state() const { return machine_.state(); }
  bool is_up() const;
  bool was_up() const { return up_reported_; }
  // Whether Close() was called.
  bool is_closed_locally() const { return closed_locally_; }
  size_t queued_bytes() const;
  // Writes queued bytes to the socket as far as it takes them. A failure is
  // left to the next regular write, which reports it.
  void Flush();
  uint64_t sent_bytes() const { return sent_bytes_; }
  uint64_t received_bytes() const { return received_bytes_; }

  // Checks that the chart and the table of actions match, for tests.
  static bool CheckChart(Failure* reason);

 private:
  static std::span<const ChartAction<WebSocketLink>> Actions();
  static void OnReadable(bufferevent* socket, void* self);
  static void OnWritten(bufferevent* socket, void* self);
  static void OnEvent(bufferevent* socket, short what, void* self);

  // Actions of the chart.
  void StartHandshakeTimer();
  void StopHandshakeTimer();
  void StartFailureTimer();
  void StartWebSocket();
  void SendHello();
  void SendProof();
  void ReportUp();
  void ReportDown();
  void SendCloseFrame();
  void StartLinger();
  void EndOutput();
  void Release();

  void OnWebSocketOpen() override;
  void OnWebSocketMessage(const std::string& payload) override;
  void OnWebSocketWrite(const char* data, size_t size) override;
  void OnWebSocketEnd(EndCause cause, const std::string& detail) override;

  bool IsClosing() const;
  void Fail(FailureCode code, const std::string& detail);
  void Fail(Failure reason);
  // Keeps `reason` unless there is an earlier one.
  void SetReason(Failure reason);
  // Fails on the next turn of the loop, because the session must not be closed
  // while it writes.
  void FailLater(FailureCode code, const std::string& detail);

  const LinkId id_;
  const bool outgoing_;
  const HostPort remote_;
  bufferevent* const socket_;
  const LinkOptions& options_;
  TimerService* const timers_;
  Delegate* const delegate_;
  ChartMachine<WebSocketLink> machine_;
  std::unique_ptr<WebsocketppSession> session_;
  std::unique_ptr<LinkHandshake> handshake_;
  // The timer of the current state.
  TimerId timer_ = 0;
  // Why the link ends, once that is known.
  Failure reason_;
  bool up_reported_ = false;
  bool down_reported_ = false;
  bool closed_locally_ = false;
  uint64_t sent_bytes_ = 0;
  uint64_t received_bytes_ = 0;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_NET_WEBSOCKET_LINK_H_
