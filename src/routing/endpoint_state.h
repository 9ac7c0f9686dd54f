#ifndef DRAGONFLYTACK_SRC_ROUTING_ENDPOINT_STATE_H_
#define DRAGONFLYTACK_SRC_ROUTING_ENDPOINT_STATE_H_

#include <chrono>
#include <cstdint>
#include <optional>

#include "dragonflytack/base/clock.h"
#include "dragonflytack/routing/endpoint.h"
#include "dragonflytack/routing/target_load.h"
#include "routing/ejection.h"
#include "routing/target_load_model.h"

namespace dragonflytack {

// State that this node keeps of one endpoint from its own attempts: calls in
// flight, latency, load reports and ejection. ServicePool keeps it across
// snapshots as long as the endpoint may receive calls.
class EndpointState final {
 public:
  // Time for which an endpoint that refused a call as overloaded counts as
  // full.
  static constexpr Milliseconds kOverloadedPeriod{1000};
  // Time for which an endpoint that refused a call as draining counts as
  // draining. It bridges the time until a snapshot contains the new state.
  static constexpr Milliseconds kDrainingPeriod{3000};
  // Time for which an occupancy report of the node beside the target is valid:
  // a few times the usual duration of a call.
  static constexpr Milliseconds kOccupancyLifetime{300};
  // An endpoint with calls in flight is unresponsive if it has sent no response
  // for longer than this time plus kUnresponsiveLatencies times its mean
  // latency. The longest usual calls may take five times the mean.
  static constexpr Milliseconds kMinUnresponsiveTime{100};
  static constexpr double kUnresponsiveLatencies = 3;
  static constexpr Milliseconds kWarmUpPeriod{10'000};
  static constexpr double kColdWeight = 0.1;

  // `slots` is the number of calls in flight at which the endpoint counts as
  // full; a number of slots in the node record overrides it. `wall_ms` is
  // this node's wall clock, in milliseconds since the Unix epoch.
  EndpointState(const Endpoint& endpoint,
                int slots,
                TimePoint now,
                int64_t wall_ms);

  // Applies the record of a newer snapshot.
  void Update(const Endpoint& endpoint,
              int slots,
              TimePoint now,
              int64_t wall_ms);

  const NodeRecord& record() const { return record_; }
  int in_flight() const { return in_flight_; }

  void OnSent(TimePoint now);
  // Records that a response of any kind was received. If the endpoint was
  // unresponsive, returns how long it had sent no response, otherwise zero.
  Milliseconds OnResponse(TimePoint now);
  // `usual_run_time` is that of the calls of the service, here and below.
  void OnAttemptEnded(AttemptOutcome outcome,
                      std::chrono::nanoseconds latency,
                      TimePoint now,
                      TargetLoadModel::Microseconds usual_run_time);
  void OnLoadReport(const TargetLoad& load, TimePoint now) {
    load_model_.OnTargetReport(load, now);
  }
  // `share` is the load as a share of the capacity, clamped to 0 to 1.
  void OnLoadReport(double share, TimePoint now) {
    OnLoadReport(TargetLoad::FromShare(share), now);
  }
  // `occupancy` is the number of calls running and queued beside the target,
  // divided by its slots. The node beside the target counts them itself, so
  // unlike a load report of the target it can be relied on.
  void OnOccupancy(double occupancy, TimePoint now);
  void OnOverloaded(TimePoint now) {
    overloaded_until_ = now + kOverloadedPeriod;
  }
  void OnDraining(TimePoint now) { draining_until_ = now + kDrainingPeriod; }

  // Returns whether a slot is probably free, the weight in a random choice
  // among endpoints with room, and the expected wait with a part for ordering;
  // see TargetLoadModel.
  bool HasRoom(TimePoint now) const { return load_model_.HasRoom(View(now)); }
  bool HasRoomWithoutFailures(TimePoint now) const {
    return load_model_.HasRoomWithoutFailures(View(now));
  }
  double Weight(TimePoint now,
                TargetLoadModel::Microseconds usual_run_time) const {
    return load_model_.Weight(View(now, usual_run_time));
  }
  TargetLoadModel::Microseconds Cost(
      TimePoint now,
      TargetLoadModel::Microseconds usual_run_time) const {
    return load_model_.Cost(View(now, usual_run_time));
  }

  // Returns the weight relative to a warm endpoint, kColdWeight to 1. It rises
  // linearly during the warm-up.
  double WarmUpWeight(TimePoint now) const;

  // `occupancy_limit` is the number of calls per slot from which the endpoint
  // counts as full.
  bool IsFull(TimePoint now, double occupancy_limit = 1) const {
    return in_flight_ >= slots_ * occupancy_limit || now < overloaded_until_ ||
           (now < occupancy_until_ && occupancy_ >= occupancy_limit);
  }
  // Returns whether the host may be unreachable or stalled. If none of the
  // calls in flight gets a response, only a new call detects the recovery: one
  // sent as the last resort, or the first one after the others timed out.
  bool IsUnresponsive(TimePoint now) const;
  bool IsDraining(TimePoint now) const { return now < draining_until_; }

  Ejection& ejection() { return ejection_; }
  const Ejection& ejection() const { return ejection_; }

 private:
  TargetLoadModel::View View(
      TimePoint now,
      TargetLoadModel::Microseconds usual_run_time = {}) const {
    return {slots_, in_flight_, now, usual_run_time};
  }

  NodeRecord record_;
  int slots_;
  int in_flight_ = 0;
  // Start of the time without any response. std::nullopt if no call is in
  // flight, unless the last one timed out or could not connect.
  std::optional<TimePoint> no_response_since_;
  double latency_us_;
  TargetLoadModel load_model_;
  double occupancy_ = 0;
  TimePoint occupancy_until_{};
  TimePoint overloaded_until_{};
  TimePoint draining_until_{};
  // Start of the warm-up by this node's clock.
  TimePoint warming_since_{};
  Ejection ejection_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_ROUTING_ENDPOINT_STATE_H_
