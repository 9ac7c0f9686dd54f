#ifndef DRAGONFLYTACK_SRC_CALLS_RESPONSE_WRITES_H_
#define DRAGONFLYTACK_SRC_CALLS_RESPONSE_WRITES_H_

#include <cstddef>
#include <functional>
#include <utility>

struct evhttp_connection;
struct evhttp_request;

namespace dragonflytack {

// Counts the responses that this process has not written completely yet. A
// large response to a peer that reads slowly remains in the process for longer
// than its call.
class ResponseWrites final {
 public:
  // `on_none` is called from evhttp's callbacks when no response is left.
  explicit ResponseWrites(std::function<void()> on_none);
  // All connections of the responses must have ended.
  ~ResponseWrites() = default;
  ResponseWrites(const ResponseWrites&) = delete;
  ResponseWrites& operator=(const ResponseWrites&) = delete;

  // Sets a function that is called from evhttp's callbacks when a connection
  // ends while its response is being written, or after that and before another
  // close callback is set. May be empty.
  void set_on_closed(std::function<void(evhttp_connection*)> on_closed) {
    on_closed_ = std::move(on_closed);
  }

  // Counts a response that is about to be sent, until it is written or its
  // connection ends. Replaces the close callback of the connection.
  void Add(evhttp_request* request);

  size_t count() const { return count_; }

 private:
  static void OnWritten(evhttp_request* request, void* self);
  static void OnClosed(evhttp_connection* connection, void* self);
  static void OnIdleClosed(evhttp_connection* connection, void* self);
  void ReportClosed(evhttp_connection* connection) const;
  void Remove();

  const std::function<void()> on_none_;
  std::function<void(evhttp_connection*)> on_closed_;
  size_t count_ = 0;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_CALLS_RESPONSE_WRITES_H_
