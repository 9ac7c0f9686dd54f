#include "routing/endpoint_state.h"

#include <algorithm>

namespace dragonflytack {

namespace {

// Latency assumed for an endpoint that has not been called yet.
constexpr double kInitialLatencyUs = 1000;
// Weight of the newest sample in the moving average of the latency.
constexpr double kLatencySmoothing = 0.2;

}  // namespace

EndpointState::EndpointState(const Endpoint& endpoint,
                             int slots,
                             TimePoint now,
                             int64_t wall_ms)
    : slots_(slots), latency_us_(kInitialLatencyUs) {
  Update(endpoint, slots, now, wall_ms);
}

void EndpointState::Update(const Endpoint& endpoint,
                           int slots,
                           TimePoint now,
                           int64_t wall_ms) {
  const NodeRecord& record = endpoint.record;
  if (record.warming_since_ms != record_.warming_since_ms ||
      record.incarnation != record_.incarnation) {
    // The clocks of the two hosts may differ, so the age is clamped to the
    // warm-up period and measured by this node's clock from then on.
    const int64_t age =
        record.warming_since_ms == 0
            ? kWarmUpPeriod.count()
            : std::clamp<int64_t>(wall_ms - record.warming_since_ms, 0,
                                  kWarmUpPeriod.count());
    warming_since_ = now - Milliseconds(age);
  }
  if (record.incarnation != record_.incarnation) {
    // Failures of an earlier incarnation are not evidence against a restarted
    // node.
    ejection_ = Ejection();
    draining_until_ = TimePoint();
    overloaded_until_ = TimePoint();
    no_response_since_.reset();
    load_model_ = TargetLoadModel();
  }
  record_ = record;
  slots_ = std::max(1, record.slots > 0 ? record.slots : slots);
}

void EndpointState::OnSent(TimePoint now) {
  ++in_flight_;
  load_model_.OnSent();
  if (!no_response_since_) {
    no_response_since_ = now;
  }
}

Milliseconds EndpointState::OnResponse(TimePoint now) {
  const Milliseconds unresponsive_time =
      IsUnresponsive(now)
          ? std::chrono::duration_cast<Milliseconds>(now - *no_response_since_)
          : Milliseconds::zero();
  // `in_flight_` still includes the call that got this response.
  no_response_since_ = in_flight_ > 1 ? std::optional(now) : std::nullopt;
  return unresponsive_time;
}

bool EndpointState::IsUnresponsive(TimePoint now) const {
  if (in_flight_ == 0 || !no_response_since_) {
    return false;
  }
  const std::chrono::duration<double, std::micro> latency_margin(
      kUnresponsiveLatencies * latency_us_);
  return now - *no_response_since_ > kMinUnresponsiveTime + latency_margin;
}

void EndpointState::OnAttemptEnded(
    AttemptOutcome outcome,
    std::chrono::nanoseconds latency,
    TimePoint now,
    TargetLoadModel::Microseconds usual_run_time) {
  --in_flight_;
  load_model_.OnCallEnded(outcome, latency, View(now, usual_run_time));
  // Calls that were abandoned early are no evidence that the endpoint is
  // unresponsive.
  if (in_flight_ == 0 && outcome != AttemptOutcome::kTimeout &&
      outcome != AttemptOutcome::kUnreachable) {
    no_response_since_.reset();
  }
  if (outcome == AttemptOutcome::kNeutral) {
    return;
  }
  double sample_us = static_cast<double>(latency.count()) / 1000;
  if (outcome != AttemptOutcome::kSuccess) {
    // Fast failures must not lower the latency and so attract more calls.
    sample_us = std::max(sample_us, latency_us_);
  }
  latency_us_ += kLatencySmoothing * (sample_us - latency_us_);
}

void EndpointState::OnOccupancy(double occupancy, TimePoint now) {
  occupancy_ = occupancy;
  occupancy_until_ = now + kOccupancyLifetime;
  // `in_flight_` still includes the call that got the response.
  load_model_.OnOccupancy(occupancy * slots_, std::max(0, in_flight_ - 1), now);
}

double EndpointState::WarmUpWeight(TimePoint now) const {
  const Milliseconds age =
      std::chrono::duration_cast<Milliseconds>(now - warming_since_);
  if (age >= kWarmUpPeriod) {
    return 1;
  }
  return kColdWeight + (1 - kColdWeight) * static_cast<double>(age.count()) /
                           static_cast<double>(kWarmUpPeriod.count());
}

}  // namespace dragonflytack
