#ifndef TOOLS_SOAK_DRIVER_PIPELINED_CALLER_H_
#define TOOLS_SOAK_DRIVER_PIPELINED_CALLER_H_

#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "dragonflytack/base/host_port.h"
#include "dragonflytack/base/random.h"
#include "dragonflytack/base/timer_service.h"
#include "soak_driver/call_record.h"
#include "support/pipelined_connection.h"

namespace dragonflytack {

class EventLoop;

// A caller that sends several idempotent calls on one connection before it
// waits for the responses.
class PipelinedCaller final {
 public:
  struct Options {
    HostPort server;
    int entry = 0;
    // Time after which a request counts as unanswered.
    Milliseconds timeout{0};
    // Whether the table has client accounts, so that calls need an API key.
    bool accounts = false;
  };

  // Returns the id of a new call; empty to make no more calls.
  using NewId = std::function<std::string()>;
  using Record = std::function<void(const CallRecord&)>;

  // The pointers must outlive the caller.
  PipelinedCaller(EventLoop* loop,
                  Random* random,
                  Options options,
                  NewId new_id,
                  Record record);
  ~PipelinedCaller();
  PipelinedCaller(const PipelinedCaller&) = delete;
  PipelinedCaller& operator=(const PipelinedCaller&) = delete;

  bool calling() const { return !calls_.empty(); }
  // When the earliest call without a response was sent.
  SoakTime sent() const { return calls_.front().sent; }

 private:
  void Pause();
  void StartCalls();
  void Send(const std::string& id);
  void HandleResponse(const PipelinedConnection::Response& response);

  EventLoop* const loop_;
  Random* const random_;
  const Options options_;
  const NewId new_id_;
  const Record record_;
  std::unique_ptr<PipelinedConnection> connection_;
  // The calls without a response, in the order of their requests.
  std::deque<CallRecord> calls_;
  TimerId timer_ = 0;
};

}  // namespace dragonflytack

#endif  // TOOLS_SOAK_DRIVER_PIPELINED_CALLER_H_
