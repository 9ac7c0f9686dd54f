#ifndef DRAGONFLYTACK_SRC_CALLS_FORWARDED_CALL_SERVER_H_
#define DRAGONFLYTACK_SRC_CALLS_FORWARDED_CALL_SERVER_H_

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "calls/call_context.h"
#include "calls/call_result.h"

struct evhttp_request;

namespace dragonflytack {

class OneTimeDispatcher;

// Serves calls with a key that other nodes forward to this one as the owner of
// the key.
class ForwardedCallServer final {
 public:
  // The pointers must outlive the object. `on_call_ended` is called after each
  // call, also from within OnRequest(). It must not destroy the object.
  ForwardedCallServer(const CallContext* context,
                      OneTimeDispatcher* dispatcher,
                      std::string shared_key,
                      std::function<void()> on_call_ended);
  // Ends the calls in progress as unknown.
  ~ForwardedCallServer();
  ForwardedCallServer(const ForwardedCallServer&) = delete;
  ForwardedCallServer& operator=(const ForwardedCallServer&) = delete;

  // Handles a request of the mesh port that has the header kOneTimeKeyHeader.
  void OnRequest(evhttp_request* request);

  size_t calls_in_progress() const { return forwarded_calls_.size(); }

 private:
  class ForwardedCall;

  // Returns the result if it is available immediately, otherwise std::nullopt.
  std::optional<CallResult> Handle(ForwardedCall* call);
  void Reply(ForwardedCall* call, const CallResult& result);
  void Remove(ForwardedCall* call);

  const CallContext* const context_;
  OneTimeDispatcher* const dispatcher_;
  const std::string shared_key_;
  const std::function<void()> on_call_ended_;
  std::unordered_map<ForwardedCall*, std::unique_ptr<ForwardedCall>>
      forwarded_calls_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_CALLS_FORWARDED_CALL_SERVER_H_
