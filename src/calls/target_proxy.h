#ifndef DRAGONFLYTACK_SRC_CALLS_TARGET_SIDE_H_
#define DRAGONFLYTACK_SRC_CALLS_TARGET_SIDE_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>

#include "calls/call_context.h"
#include "calls/call_result.h"
#include "calls/exchange.h"
#include "calls/rate_limiter.h"
#include "calls/slot_limiter.h"
#include "calls/wait_queue.h"
#include "dragonflytack/base/timer_service.h"
#include "dragonflytack/calls/call_header_codec.h"
#include "dragonflytack/calls/local_target.h"
#include "dragonflytack/routing/service_route.h"

struct evhttp_request;

namespace dragonflytack {

// The node's part beside its target: it takes calls from all nodes on the mesh
// port, enforces slots, queue, rate and concurrency, and calls the target.
class TargetProxy final {
 public:
  // `context` must outlive the object. `on_call_ended` is called after each
  // call.
  TargetProxy(const CallContext* context, std::function<void()> on_call_ended);
  // Refuses or gives up the calls in progress.
  ~TargetProxy();
  TargetProxy(const TargetProxy&) = delete;
  TargetProxy& operator=(const TargetProxy&) = delete;

  // Handles a request of the mesh port.
  void OnRequest(evhttp_request* request);

  // The target's last announcement. A target that is neither warming nor ready
  // gets no new calls; those queued and running finish.
  void SetTarget(const LocalTarget& target);

  // The snapshot in force has changed.
  void OnRoutes();

  // From now on new calls are refused as not run.
  void Drain() { draining_ = true; }

  size_t calls_in_progress() const { return calls_.size(); }

 private:
  class Call;

  // Each returns the refusal of a call that cannot be taken, nothing otherwise.
  // The first one is for attempts of one-time calls that must not start here.
  std::optional<CallResult> AdmitAttempt(Call* call);
  std::optional<CallResult> Prepare(Call* call);
  std::optional<CallResult> Admit(Call* call);
  void Run(Call* call);
  void OnExchangeEnd(Call* call, ExchangeOutcome end, HttpRequestPtr response);
  TargetResponseKind Judge(evhttp_request* call,
                           evhttp_request* response) const;
  // The result of a call that the target says it did not run.
  CallResult OnRejected(TargetResponseKind verdict);
  void RunQueued();
  // Refuses queued calls whose deadline can no longer be met.
  void ExpireQueued();
  void ArmQueueTimer();
  // When an answer to a call that is run now would come.
  TimePoint UsefulTime() const;
  void ApplyLimits();
  void Reply(Call* call, const CallResult& result);
  // Calls running and waiting besides one that ends, in thousandths of the
  // slots.
  int64_t Occupancy(const Call& ending) const;
  void OnHangUp(Call* call);
  void ReleaseSlot(Call* call);
  void Remove(Call* call);

  const CallContext* const context_;
  const std::function<void()> on_call_ended_;
  LocalTarget target_;
  // The row of the target's service and all endpoints, null when there is none.
  std::shared_ptr<const ServiceRoute> route_;
  bool draining_ = false;
  SlotLimiter slots_;
  RateLimiter rate_;
  WaitQueue<Call> queue_;
  TimerId queue_timer_ = 0;
  std::unordered_map<Call*, std::unique_ptr<Call>> calls_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_CALLS_TARGET_SIDE_H_
