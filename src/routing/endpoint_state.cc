#include "routing/endpoint_state.h"

#include <algorithm>

namespace dragonflytack {

namespace {

// Latency assumed of an endpoint that was never called.
constexpr double kFirstLatencyUs = 1000;
constexpr double kLatencyShare = 0.2;

}  // namespace

EndpointState::EndpointState(const Endpoint& endpoint,
                             int slots,
                             TimePoint now,
                             int64_t wall_millis)
    : slots_(slots), latency_us_(kFirstLatencyUs) {
  Update(endpoint, slots, now, wall_millis);
}

void EndpointState::Update(const Endpoint& endpoint,
                           int slots,
                           TimePoint now,
                           int64_t wall_millis) {
  const NodeRecord& record = endpoint.record;
  if (record.warming_since_ms != record_.warming_since_ms ||
      record.incarnation != record_.incarnation) {
    // The other host's clock may differ, so the age it gives is cut to the
    // length of a warm-up and then measured by this node's clock.
    const int64_t age =
        record.warming_since_ms == 0
            ? kWarmUp.count()
            : std::clamp<int64_t>(wall_millis - record.warming_since_ms, 0,
                                  kWarmUp.count());
    warming_since_ = now - Milliseconds(age);
  }
  if (record.incarnation != record_.incarnation) {
    // A restarted node is judged anew.
    ejection_ = Ejection();
    draining_until_ = TimePoint();
    overloaded_until_ = TimePoint();
    unanswered_since_.reset();
  }
  record_ = record;
  slots_ = std::max(1, record.slots > 0 ? record.slots : slots);
}

void EndpointState::OnSent(TimePoint now) {
  ++in_flight_;
  if (!unanswered_since_) {
    unanswered_since_ = now;
  }
}

Milliseconds EndpointState::OnResponse(TimePoint now) {
  const Milliseconds silence =
      IsSilent(now)
          ? std::chrono::duration_cast<Milliseconds>(now - *unanswered_since_)
          : Milliseconds::zero();
  // The call that was answered is still counted.
  unanswered_since_ = in_flight_ > 1 ? std::optional(now) : std::nullopt;
  return silence;
}

bool EndpointState::IsSilent(TimePoint now) const {
  if (in_flight_ == 0 || !unanswered_since_) {
    return false;
  }
  const std::chrono::duration<double, std::micro> usual(kSilentLatencies *
                                                        latency_us_);
  return now - *unanswered_since_ > kSilentAtLeast + usual;
}

void EndpointState::OnEnded(AttemptOutcome end,
                            std::chrono::nanoseconds latency) {
  --in_flight_;
  // Calls that were given up early say nothing about the endpoint.
  if (in_flight_ == 0 && end != AttemptOutcome::kTimeout &&
      end != AttemptOutcome::kUnreachable) {
    unanswered_since_.reset();
  }
  if (end == AttemptOutcome::kNeutral) {
    return;
  }
  double sample_us = static_cast<double>(latency.count()) / 1000;
  if (end != AttemptOutcome::kSuccess) {
    // A target that fails quickly must not look quick.
    sample_us = std::max(sample_us, latency_us_);
  }
  latency_us_ += kLatencyShare * (sample_us - latency_us_);
}

void EndpointState::OnLoadReport(double load, TimePoint now) {
  load_ = std::clamp(load, 0.0, 1.0);
  load_until_ = now + kLoadReportLife;
}

double EndpointState::Score(TimePoint now) const {
  const double hint = now < load_until_ ? 0.5 + load_ : 1.0;
  const double waiting =
      now < occupancy_until_ ? std::max(0.0, occupancy_ - 1) : 0;
  return (in_flight_ + 1) * (1 + waiting) * hint * latency_us_;
}

double EndpointState::WarmWeight(TimePoint now) const {
  const Milliseconds age =
      std::chrono::duration_cast<Milliseconds>(now - warming_since_);
  if (age >= kWarmUp) {
    return 1;
  }
  return kColdWeight + (1 - kColdWeight) * static_cast<double>(age.count()) /
                           static_cast<double>(kWarmUp.count());
}

}  // namespace dragonflytack
