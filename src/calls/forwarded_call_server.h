#ifndef DRAGONFLYTACK_SRC_CALLS_HOME_SIDE_H_
#define DRAGONFLYTACK_SRC_CALLS_HOME_SIDE_H_

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "calls/call_context.h"
#include "calls/call_result.h"

struct evhttp_request;

namespace dragonflytack {

class OneTimeDispatcher;

// Takes calls with a key that other nodes forward to this one as their home.
class ForwardedCallServer final {
 public:
  // The pointers must outlive the object. `on_call_ended` is called after each
  // call.
  ForwardedCallServer(const CallContext* context,
                      OneTimeDispatcher* calls,
                      std::string secret,
                      std::function<void()> on_call_ended);
  // Answers the calls in progress as unknown.
  ~ForwardedCallServer();
  ForwardedCallServer(const ForwardedCallServer&) = delete;
  ForwardedCallServer& operator=(const ForwardedCallServer&) = delete;

  // Handles a request of the mesh port that has the header kOneTimeKeyHeader.
  void OnRequest(evhttp_request* request);

  size_t calls_in_progress() const { return forwarded_.size(); }

 private:
  class Forwarded;

  // Returns the result if it is there at once.
  std::optional<CallResult> Handle(Forwarded* call);
  void Reply(Forwarded* call, const CallResult& result);
  void Remove(Forwarded* call);

  const CallContext* const context_;
  OneTimeDispatcher* const calls_;
  const std::string secret_;
  const std::function<void()> on_call_ended_;
  std::unordered_map<Forwarded*, std::unique_ptr<Forwarded>> forwarded_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_CALLS_HOME_SIDE_H_
