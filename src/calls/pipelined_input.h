#ifndef DRAGONFLYTACK_SRC_CALLS_PIPELINED_INPUT_H_
#define DRAGONFLYTACK_SRC_CALLS_PIPELINED_INPUT_H_

#include <cstddef>
#include <functional>
#include <string>

#include "calls/pipeline_reader.h"
#include "dragonflytack/base/timer_service.h"

struct evbuffer;
struct evbuffer_cb_info;
struct evhttp_connection;
struct evhttp_request;

namespace dragonflytack {

// The input of an evhttp connection behind the request that was delivered last.
// It is read ahead, but evhttp still parses all of it. Must be destroyed before
// evhttp frees the connection.
class PipelinedInput final {
 public:
  // `on_input` is called by a timer after bytes have arrived.
  PipelinedInput(TimerService* timers,
                 evhttp_connection* connection,
                 size_t max_requests,
                 std::function<void()> on_input);
  ~PipelinedInput();
  PipelinedInput(const PipelinedInput&) = delete;
  PipelinedInput& operator=(const PipelinedInput&) = delete;

  // Whether there are bytes after the heads that were taken.
  bool HasMore() const;

  // See PipelineReader. Next() and PutBack() may be called only between the
  // delivery of a request and its response, when the input begins with the
  // request after it.
  const RequestHead* Next();
  void PutBack(bool must_wait) { reader_.PutBack(must_wait); }
  bool Deliver(evhttp_request* request);
  size_t last_bytes() const { return reader_.last_bytes(); }

 private:
  static void OnInput(evbuffer* buffer,
                      const evbuffer_cb_info* info,
                      void* self);
  // Returns up to `size` bytes of the input from `offset` on.
  std::string Copy(size_t offset, size_t size) const;

  TimerService* const timers_;
  evbuffer* const input_;
  const std::function<void()> on_input_;
  PipelineReader reader_;
  TimerId timer_ = 0;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_CALLS_PIPELINED_INPUT_H_
