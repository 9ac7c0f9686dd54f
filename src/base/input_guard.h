#ifndef DRAGONFLYTACK_SRC_BASE_INPUT_GUARD_H_
#define DRAGONFLYTACK_SRC_BASE_INPUT_GUARD_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/input_ledger.h"
#include "dragonflytack/base/timer_service.h"

struct bufferevent;
struct event;
struct event_base;
struct evhttp;
struct evhttp_bound_socket;
struct evhttp_request;

namespace dragonflytack {

class EventLoop;
class InputConnection;

// Limits what the connections of one evhttp server hold and how many there are.
// It creates the bufferevents of accepted connections, so it sees each byte
// before evhttp does. A connection is dropped by shutting its socket down;
// evhttp then ends it as after a close by the peer. Freeing it here would crash
// evhttp, which may be reading from it.
//
// A connection that evhttp ends lingers: its sending side is shut down, and
// what the peer still sends is read and discarded until the peer ends its side
// (RFC 9112, section 9.6). With the socket closed, a byte of the peer would
// make the kernel reset the connection and discard responses that are not sent
// yet.
class InputGuard final {
 public:
  struct Options {
    size_t max_connections = 0;
    // Bytes from the first byte of a head to its end, including empty lines
    // before it. Above the limit of evhttp, which sends a response.
    size_t max_head_bytes = 0;
    // Bytes that are read ahead while a request is being handled. Also applies
    // before, if `bounds_requests` is set; complete requests must then fit.
    size_t read_ahead_bytes = 64 << 10;
    bool bounds_requests = false;
    // Headers of a refusal, each with its line end. Empty if the port has no
    // refusals.
    std::string refusal_headers;
  };

  struct Dropped {
    DropCause cause;
    std::string peer;
    size_t bytes;
  };

  // `ledger` must outlive the guard. `on_dropped` may be called from within
  // callbacks of libevent.
  InputGuard(EventLoop* loop,
             InputLedger* ledger,
             Options options,
             std::function<void(const Dropped&)> on_dropped);
  // The server must have been freed.
  ~InputGuard();
  InputGuard(const InputGuard&) = delete;
  InputGuard& operator=(const InputGuard&) = delete;

  // Must be called once, before the first connection. `socket` is the socket on
  // which the server listens.
  void Attach(evhttp* http, evhttp_bound_socket* socket);

  // Must be called before the socket is closed.
  void OnStopListening() { socket_ = nullptr; }

  // Must be called when evhttp delivers a request. Returns false if the
  // connection was dropped, so that the request must not be handled.
  bool OnRequest(evhttp_request* request);

  size_t connections() const { return connections_.size(); }

  // Whether new connections wait because all are in use. Each should then be
  // closed with its next response.
  bool is_short_of_connections() const { return is_short_of_connections_; }

  // Returns the number of connections that linger. Each ends at the latest 2 s
  // after the peer has last acknowledged bytes, and 30 s after evhttp ended it.
  size_t CountLingering() const;

 private:
  friend class InputConnection;

  static bufferevent* OnAccept(event_base* base, void* self);
  // Makes room for another connection, or stops accepting any until there is
  // room.
  void LimitConnections();
  bool IsFull() const;
  // Drops the connection that is least in use if there are too many.
  void DropLeastInUse();
  void ResumeListeningLater();
  // Refuses connections that wait to be accepted.
  void RefuseWaiting() const;
  // Forgets ended connections and drops those that exceed a time limit.
  void Sweep();
  // Forgets connections that have ended, and lets those linger that evhttp has
  // ended.
  void ForgetEnded();
  // Has the event loop check, after evhttp has handled the end of a response,
  // whether it has ended the connection.
  void CheckLater(bufferevent* bufev);
  static void OnCheck(int fd, short what, void* self);
  TimePoint Now() const;

  EventLoop* const loop_;
  InputLedger* const ledger_;
  const Options options_;
  const std::function<void(const Dropped&)> on_dropped_;
  evhttp_bound_socket* socket_ = nullptr;
  std::unordered_map<bufferevent*, std::unique_ptr<InputConnection>>
      connections_;
  event* const check_event_;
  std::vector<bufferevent*> to_check_;
  TimerId sweep_timer_;
  // Set while no connections are accepted.
  TimerId listen_timer_ = 0;
  TimePoint paused_since_;
  bool is_short_of_connections_ = false;
  TimePoint last_sweep_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_BASE_INPUT_GUARD_H_
