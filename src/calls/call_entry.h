#ifndef DRAGONFLYTACK_SRC_CALLS_CALL_ENTRY_H_
#define DRAGONFLYTACK_SRC_CALLS_CALL_ENTRY_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <unordered_map>

#include "accounts/allowance_gate.h"
#include "calls/attempt_age.h"
#include "calls/call_context.h"
#include "calls/call_result.h"
#include "dragonflytack/base/clock.h"

struct evhttp_connection;
struct evhttp_request;
struct evkeyvalq;

namespace dragonflytack {

class OneTime;
enum class PipelineEvent;
struct CallRequest;
struct RequestHead;

// Accepts calls from callers and from the local target, routes them and sends
// the responses.
class CallEntry final {
 public:
  // Path of the requests for one-time keys.
  static constexpr char kKeysPath[] = "/-/keys";

  // `context` and `one_time` must outlive the entry. `on_call_ended` is called
  // after each call, also from within OnRequest(). It must not destroy the
  // entry.
  CallEntry(const CallContext* context,
            OneTime* one_time,
            std::function<void()> on_call_ended);
  // All calls must have ended, see CutOff().
  ~CallEntry();
  CallEntry(const CallEntry&) = delete;
  CallEntry& operator=(const CallEntry&) = delete;

  // Handles a request of the call port.
  void OnRequest(evhttp_request* request);

  // Refuses calls that arrive from now on and have their deadline after `end`,
  // when those in progress are cut off.
  void RefuseCallsBeyond(TimePoint end) { latest_deadline_ = end; }

  // Refuses all calls that arrive from now on.
  void RefuseNewCalls() { refusing_ = true; }

  // Starts no call before its turn on its connection any more, because a
  // response will close the connection.
  void StartNoneEarly() { starts_none_early_ = true; }

  // Refuses new calls and responds to those in progress: calls that may have
  // been dispatched have an unknown outcome, the others are refused. Calls that
  // wait for their turn are responded to then.
  void CutOff();

  // After CutOff(), without those that wait for their turn on a connection.
  size_t calls_in_progress() const {
    return is_cut_off_ ? calls_.size() - early_calls_ : calls_.size();
  }

 private:
  class Call;
  class Pipeline;

  // Returns the refusal if the call cannot be routed, std::nullopt otherwise.
  std::optional<CallResult> Prepare(evhttp_request* request, Call* call);
  // Determines the service of a call. Returns the refusal if there is none.
  std::optional<CallResult> Route(evhttp_request* request, CallRequest* routed);
  // Determines the client account of a call and the rank that it gives to the
  // call. Returns the refusal if the call needs an API key and has none that is
  // known.
  std::optional<CallResult> IdentifyAccount(std::string_view api_key,
                                            CallRequest* routed) const;
  // Starts a call if the allowance of its account has room.
  void Admit(Call* call);
  void OnAllowance(Call* call, const AllowanceGate::Answer& answer);
  // Returns the key of a one-time call, empty if it has none.
  std::string_view KeyOf(const evkeyvalq* headers) const;
  void SendResponse(Call* call, const CallResult& result);
  // Counts and logs the end of a call.
  void ReportEnd(const Call& call, const CallResult& result) const;
  void LogFailure(const CallRequest& request, const CallResult& result) const;
  void OnResult(Call* call, CallResult result);
  void OnCallerDisconnected(Call* call);
  void CancelAllowance(Call* call);
  void Remove(Call* call);

  // Lets requests after that of the call overtake it.
  void BeginPipeline(Call* call);
  // Starts the calls of waiting requests that may be started now.
  void ReadAhead(Pipeline* pipeline);
  bool HasRoomForEarlyCall() const;
  // Returns false if the request has to wait for its turn.
  bool StartEarly(Pipeline* pipeline, const RequestHead& head);
  // Stores the result of an early call until its turn.
  void Keep(Call* call, CallResult result);
  // Continues the early call of a request that evhttp delivers. Returns false
  // if there is none.
  bool DeliverEarly(evhttp_request* request);
  // Abandons the early calls of a connection, if it has any.
  void EndPipeline(evhttp_connection* connection, PipelineEvent event);

  const CallContext* const context_;
  OneTime* const one_time_;
  const std::function<void()> on_call_ended_;
  bool refusing_ = false;
  std::optional<TimePoint> latest_deadline_;
  AttemptAge attempt_age_;
  std::unordered_map<Call*, std::unique_ptr<Call>> calls_;
  // Calls whose requests evhttp has not delivered yet.
  size_t early_calls_ = 0;
  bool starts_none_early_ = false;
  bool is_cut_off_ = false;
  std::unordered_map<evhttp_connection*, std::unique_ptr<Pipeline>> pipelines_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_CALLS_CALL_ENTRY_H_
