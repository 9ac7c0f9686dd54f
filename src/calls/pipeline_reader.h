#ifndef DRAGONFLYTACK_SRC_CALLS_PIPELINE_READER_H_
#define DRAGONFLYTACK_SRC_CALLS_PIPELINE_READER_H_

#include <cstddef>
#include <deque>
#include <string>
#include <string_view>

#include "calls/request_head.h"

namespace dragonflytack {

// Decides which requests that wait in the input of a connection are processed
// while the request before them has no response yet, and checks that they are
// the ones that evhttp delivers later. It does no I/O.
class PipelineReader final {
 public:
  // `max_requests` counts the request that was delivered last, too.
  explicit PipelineReader(size_t max_requests) : max_requests_(max_requests) {}
  PipelineReader(const PipelineReader&) = delete;
  PipelineReader& operator=(const PipelineReader&) = delete;

  // Takes the next head that may be processed now. Returns null if there is
  // none. `waiting` begins after taken_bytes() of the input. The pointer is
  // valid until the head is delivered or put back.
  const RequestHead* Next(std::string_view waiting);

  // Undoes the last Next(). With `must_wait`, no head is taken until the one
  // that was put back is delivered to a new reader.
  void PutBack(bool must_wait);

  // Must be called for the next request of the connection. `following` is the
  // input after it. Returns whether the request is the first that was taken and
  // the others follow it, byte for byte. Otherwise the reader must not be used
  // any more.
  bool Deliver(const RequestHead& delivered, std::string_view following);

  // Size of the heads that were taken and not delivered.
  size_t taken_bytes() const { return taken_bytes_; }
  // Size of the head that was taken last.
  size_t last_bytes() const { return taken_.back().bytes.size(); }

 private:
  struct Taken {
    std::string bytes;
    RequestHead head;
  };

  const size_t max_requests_;
  std::deque<Taken> taken_;
  size_t taken_bytes_ = 0;
  // The next head, or one that was taken, lets none after it be taken.
  bool is_closed_ = false;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_CALLS_PIPELINE_READER_H_
