#ifndef DRAGONFLYTACK_SRC_CALLS_TARGET_PROXY_H_
#define DRAGONFLYTACK_SRC_CALLS_TARGET_PROXY_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "admission/stall_detector.h"
#include "calls/admission_queue.h"
#include "calls/call_context.h"
#include "calls/call_result.h"
#include "calls/evidence_recorder.h"
#include "calls/exchange.h"
#include "calls/load_report_forwarder.h"
#include "calls/rate_limiter.h"
#include "dragonflytack/base/clock.h"
#include "dragonflytack/base/timer_service.h"
#include "dragonflytack/calls/call_header_codec.h"
#include "dragonflytack/calls/local_target.h"
#include "dragonflytack/routing/service_route.h"

struct evhttp_request;

namespace dragonflytack {

// Serves the calls that nodes send to the local target: receives them on the
// mesh port, enforces the limits for slots, queue length, rate and concurrency,
// and forwards them to the target.
class TargetProxy final {
 public:
  // `context` must outlive the object. `on_call_ended` is called after each
  // call, also from within OnRequest(), SetTarget() and OnRoutes(). It must not
  // destroy the object.
  // A target that announces that it leaves gets no call later than
  // `leaving_time` after that.
  TargetProxy(const CallContext* context,
              Milliseconds leaving_time,
              std::function<void()> on_call_ended);
  // All calls must have ended, see CutOff().
  ~TargetProxy();
  TargetProxy(const TargetProxy&) = delete;
  TargetProxy& operator=(const TargetProxy&) = delete;

  // Handles a request of the mesh port.
  void OnRequest(evhttp_request* request);

  // Sets the local target as it last announced itself. A target that is neither
  // warming nor ready receives no new calls, and running calls finish. If it
  // leaves, queued calls are refused as not run unless they are expected to end
  // within its leaving time; if its service changes, all of them are.
  void SetTarget(const LocalTarget& target);

  // Applies the row and the limits of the snapshot that is now in force. If the
  // table has no row of the target's service, new calls are refused; queued and
  // running calls finish under the limits of the last row.
  void OnRoutes();

  // Starts the drain: new calls are refused as not run from now on, and queued
  // ones that would end after `cut_off_time`, the time of CutOff(), instead of
  // being started.
  void Drain(TimePoint cut_off_time);

  // Starts the drain and replies to all calls in progress: kUnknown for those
  // that were sent to the target, kNotRun for the others.
  void CutOff();

  size_t calls_in_progress() const { return calls_.size(); }
  EvidenceRecorder& evidence() { return evidence_; }
  // Whether a new release of the target's service gets calls.
  bool is_in_rollout() const {
    return route_ != nullptr && route_->rollout.share > 0;
  }

 private:
  class Call;

  // This and the next two functions return the refusal of a call that cannot be
  // accepted, otherwise std::nullopt. AdmitAttempt() refuses attempts of
  // one-time calls that must not be started by this request.
  std::optional<CallResult> AdmitAttempt(Call* call);
  // Checks the state of the target, the service and the rate limit, and reads
  // the call's terms and trace.
  std::optional<CallResult> Validate(Call* call);
  // Starts the call if a slot is free, otherwise adds it to the queue.
  std::optional<CallResult> StartOrEnqueue(Call* call);
  void Run(Call* call);
  void OnExchangeFinished(Call* call,
                          ExchangeOutcome outcome,
                          HttpRequestPtr response);
  // Returns whether a response of the target belongs to the call, and logs one
  // that does not.
  ResponseVerdict Validate(const Call& call, evhttp_request* response) const;
  // Identifies a one-time call among those that the target refuses. Returns
  // std::nullopt if a wrong refusal does no harm: idempotent calls may be
  // repeated, and calls without an id are never run.
  std::optional<uint64_t> RefusalIdentity(const Call& call) const;
  TargetResponseKind GetResponseKind(evhttp_request* request,
                                     evhttp_request* response) const;
  // Returns the result of a call that the target rejected without running it.
  CallResult MakeRejectedResult(TargetResponseKind kind);
  // Returns the name of the route of the call, empty if the table has none.
  std::string RouteOf(const Call& call) const;
  void RunQueued();
  // Returns whether the target responds to none of its calls. Logs the start of
  // a stall.
  bool IsStalled();
  // Refuses queued calls whose deadline can no longer be met.
  void ExpireQueued();
  // Refuses queued calls that are not expected to get a slot in time.
  void RefuseHopeless();
  // Refuses all queued calls as not run.
  void RefuseQueued(CallReason reason, const std::string& detail);
  void ArmQueueTimer();
  // Refuses all queued calls, or those not expected to end, after the last time
  // at which a call may end at the target.
  void RefuseBeyondEnd();
  // Returns when the last call at the target may end: before the cut-off of a
  // stop and within the leaving time of the target.
  TimePoint LastCallEnd() const { return std::min(cut_off_time_, target_end_); }
  void ApplyLimits();
  void Reply(Call* call, const CallResult& result);
  // Returns the running and queued calls without `ended`, in thousandths of the
  // slots.
  int64_t OccupancyPerMille(const Call& ended) const;
  void OnPeerDisconnected(Call* call);
  void ReleaseSlot(Call* call);
  void Remove(Call* call);

  const CallContext* const context_;
  const Milliseconds leaving_time_;
  LoadReportForwarder load_reports_;
  const std::function<void()> on_call_ended_;
  LocalTarget target_;
  EvidenceRecorder evidence_;
  // The row and endpoints of the target's service, null if the table has no
  // such service.
  std::shared_ptr<const ServiceRoute> route_;
  bool draining_ = false;
  // Set with `draining_`.
  TimePoint cut_off_time_ = TimePoint::max();
  // The end of the leaving time, if the target leaves.
  TimePoint target_end_ = TimePoint::max();
  // The limits of the last row, which also hold while `route_` is null.
  int max_connections_ = 0;
  RateLimiter rate_;
  AdmissionQueue<Call> queue_;
  StallDetector stalls_;
  TimerId queue_timer_ = 0;
  std::unordered_map<Call*, std::unique_ptr<Call>> calls_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_CALLS_TARGET_PROXY_H_
