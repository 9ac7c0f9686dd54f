#ifndef DRAGONFLYTACK_SRC_BASE_INPUT_CONNECTION_H_
#define DRAGONFLYTACK_SRC_BASE_INPUT_CONNECTION_H_

#include <cstddef>
#include <string>

#include "base/input_ledger.h"

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_info;

namespace dragonflytack {

class InputGuard;

// The order in which connections are dropped at the limit of their number,
// beginning with those whose loss costs least.
enum class DropOrder { kLingering, kNotServed, kServed, kNotReading, kNever };

// A connection of a server with an InputGuard, which is described there. It
// holds a reference to the bufferevent, because evhttp does not report the end
// of a connection without a request. evhttp clears the callbacks of a
// bufferevent that it frees.
class InputConnection final : public InputSender {
 public:
  // `guard` must outlive the connection.
  InputConnection(InputGuard* guard, bufferevent* bufev);
  ~InputConnection() override;

  // A complete request was delivered.
  void OnRequest();

  void Drop(DropCause cause) override;

  // Frees the memory of a dropped connection and has evhttp end it now. Unread
  // bytes would delay the end of the stream, and evhttp would keep the body.
  // Must not be called from within callbacks of the connection.
  void EndIfDropped();

  // Begins to linger if evhttp has ended the connection and the peer has not.
  void LingerIfEnded();

  // Ends the lingering of a peer that makes no progress.
  void CheckLinger(TimePoint now);

  // Whether the connection is over, for evhttp as well as for the guard.
  bool IsOver() const;

  bool is_lingering() const { return is_lingering_; }
  DropOrder FindDropOrder(TimePoint now) const;

  // Returns the IP number of the peer; empty if the socket is not connected.
  static std::string FindPeer(int fd);

  // Sends a refusal with these headers, as far as the socket takes it; nothing
  // if there are none.
  static void SendRefusal(int fd, DropCause cause, const std::string& headers);

 private:
  static void OnInput(evbuffer* buffer,
                      const evbuffer_cb_info* info,
                      void* self);
  static void OnOutput(evbuffer* buffer,
                       const evbuffer_cb_info* info,
                       void* self);
  static void OnLingerInput(bufferevent* bufev, void* self);
  static void OnLingerEvent(bufferevent* bufev, short what, void* self);
  static void Discard(bufferevent* bufev, void* self);

  bool IsEnded() const;
  bool IsReceiving() const;
  // Whether the peer may still send or read. Dropped connections are shut down
  // in both directions.
  bool CanLinger() const;
  void EndLinger();
  void SetReadAhead(bool limited);
  void HandleInput(evbuffer* buffer, size_t offset, size_t size);
  void HandleOutput(evbuffer* buffer, const evbuffer_cb_info& info);
  // The response is written. Bytes of further requests may have arrived.
  void EndRequest(TimePoint now);
  void BeginHead(TimePoint now);
  // Looks for the empty line after the head in bytes that have arrived.
  void ScanHead(evbuffer* buffer, size_t offset, size_t size, TimePoint now);

  InputGuard* const guard_;
  bufferevent* const bufev_;
  size_t unsent_bytes_ = 0;
  // State of the head that is being received: whether it and its last line have
  // a character.
  size_t head_bytes_ = 0;
  bool has_text_ = false;
  bool line_has_text_ = false;
  // Whether evhttp has written since the head began: an interim response, or a
  // refusal of its own.
  bool has_written_ = false;
  bool is_lingering_ = false;
  bool is_linger_over_ = false;
  TimePoint linger_start_;
  // When the peer last acknowledged bytes while the connection lingers.
  TimePoint linger_progress_;
  size_t linger_bytes_ = 0;
  // Bytes that the peer had not acknowledged at the last check.
  int linger_unsent_ = 0;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_BASE_INPUT_CONNECTION_H_
