// Slots and queue of the calls to the local target.

#include "calls/target_proxy.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "calls/call_metrics.h"
#include "calls/call_span.h"
#include "calls/target_proxy_call.h"
#include "dragonflytack/base/event_loop.h"
#include "dragonflytack/base/logger.h"

namespace dragonflytack {

namespace {

constexpr char kStalledDetail[] = "the target responds to none of its calls";

}  // namespace

std::optional<CallResult> TargetProxy::StartOrEnqueue(Call* call) {
  using Decision = AdmissionQueue<Call>::Decision;
  if (IsStalled() && !queue_.slots().has_free()) {
    return CallResult::Refused(CallReason::kOverloaded, kStalledDetail);
  }
  Call* displaced = nullptr;
  switch (queue_.Offer(call, call->terms,
                       static_cast<size_t>(route_->row.max_queue),
                       context_->loop->clock().Now(), &displaced)) {
    case Decision::kStart:
      call->has_slot = true;
      Run(call);
      return std::nullopt;
    case Decision::kTooLate:
      return CallResult::Refused(CallReason::kDeadline,
                                 "the deadline cannot be met");
    case Decision::kFull:
      return CallResult::Refused(CallReason::kOverloaded, "the queue is full");
    case Decision::kWait:
      break;
  }
  if (displaced != nullptr) {
    Reply(displaced, CallResult::Refused(
                         CallReason::kOverloaded,
                         "the queue is full of calls with higher priority"));
    Remove(displaced);
  }
  call->span = std::make_unique<CallSpan>(context_, call->trace, "queue",
                                          target_.service);
  // This may refuse the call itself.
  RefuseHopeless();
  return std::nullopt;
}

void TargetProxy::ReleaseSlot(Call* call) {
  if (std::exchange(call->has_slot, false)) {
    if (stalls_.OnEnd(call->run, call->has_response,
                      context_->loop->clock().Now())) {
      context_->logger->Info(
          "target_stall_ended",
          {{"service", target_.service}, {"instance", target_.instance}});
    }
    queue_.slots().Release();
    context_->metrics->slots_in_use()->Set(queue_.slots().in_use());
    RunQueued();
  }
}

bool TargetProxy::IsStalled() {
  const TimePoint now = context_->loop->clock().Now();
  if (stalls_.Update(now)) {
    context_->logger->Warning(
        "target_stalled",
        {{"service", target_.service},
         {"instance", target_.instance},
         {"running", static_cast<uint64_t>(stalls_.running())},
         {"waiting", static_cast<uint64_t>(queue_.size())},
         {"silent_ms", int64_t{stalls_.Silence(now).count()}}});
  }
  return stalls_.is_stalled();
}

void TargetProxy::RunQueued() {
  ExpireQueued();
  while (true) {
    const TimePoint now = context_->loop->clock().Now();
    if (queue_.ExpectedEnd(now) > LastCallEnd() && queue_.slots().has_free()) {
      RefuseBeyondEnd();
      return;
    }
    Call* call = queue_.StartNext(now);
    if (call == nullptr) {
      return;
    }
    context_->metrics->queue_length()->Set(static_cast<int64_t>(queue_.size()));
    call->has_slot = true;
    Run(call);
  }
}

void TargetProxy::RefuseBeyondEnd() {
  const TimePoint now = context_->loop->clock().Now();
  const bool target_leaves = target_end_ < cut_off_time_;
  const CallReason reason =
      target_leaves ? CallReason::kDraining : CallReason::kStopping;
  const char* const detail =
      target_leaves ? "the target leaves before the end of the call"
                    : "the node stops before the end of the call";
  if (queue_.ExpectedEnd(now) > LastCallEnd()) {
    RefuseQueued(reason, detail);
    return;
  }
  while (Call* call = queue_.PopEndingAfter(LastCallEnd(), now)) {
    Reply(call, CallResult::Refused(reason, detail));
    Remove(call);
  }
  context_->metrics->queue_length()->Set(static_cast<int64_t>(queue_.size()));
  ArmQueueTimer();
}

void TargetProxy::ExpireQueued() {
  // A call that is started too late to meet its deadline would take a slot from
  // one that can meet it. Expiring such calls keeps the useful work at the
  // capacity under overload.
  if (LastCallEnd() <= context_->loop->clock().Now()) {
    RefuseBeyondEnd();
    return;
  }
  if (!queue_.empty() && IsStalled()) {
    // Another target may still serve these calls in time.
    RefuseQueued(CallReason::kOverloaded, kStalledDetail);
    return;
  }
  while (Call* call = queue_.PopExpired(context_->loop->clock().Now())) {
    Reply(call, CallResult::Refused(CallReason::kDeadline,
                                    "the wait in the queue was too long"));
    Remove(call);
  }
  context_->metrics->queue_length()->Set(static_cast<int64_t>(queue_.size()));
  ArmQueueTimer();
}

void TargetProxy::RefuseHopeless() {
  while (Call* call = queue_.PopHopeless(context_->loop->clock().Now())) {
    Reply(call, CallResult::Refused(
                    CallReason::kDeadline,
                    "calls that can meet their objective take all slots"));
    Remove(call);
  }
  context_->metrics->queue_length()->Set(static_cast<int64_t>(queue_.size()));
  ArmQueueTimer();
}

void TargetProxy::RefuseQueued(CallReason reason, const std::string& detail) {
  while (Call* call = queue_.Pop(context_->loop->clock().Now())) {
    context_->metrics->queue_length()->Set(static_cast<int64_t>(queue_.size()));
    Reply(call, CallResult::Refused(reason, detail));
    Remove(call);
  }
  ArmQueueTimer();
}

void TargetProxy::ArmQueueTimer() {
  std::optional<TimePoint> earliest = queue_.EarliestExpiry();
  if (earliest) {
    earliest = std::min({*earliest, LastCallEnd(),
                         stalls_.StallsAt().value_or(TimePoint::max())});
  }
  context_->loop->timers().Cancel(queue_timer_);
  queue_timer_ = 0;
  if (earliest) {
    queue_timer_ = context_->loop->timers().SubscribeOnce(
        std::max(std::chrono::ceil<Milliseconds>(*earliest -
                                                 context_->loop->clock().Now()),
                 Milliseconds(0)),
        [this] { ExpireQueued(); });
  }
}

}  // namespace dragonflytack
