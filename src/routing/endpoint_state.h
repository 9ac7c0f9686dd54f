#ifndef DRAGONFLYTACK_SRC_ROUTING_ENDPOINT_STATE_H_
#define DRAGONFLYTACK_SRC_ROUTING_ENDPOINT_STATE_H_

#include <chrono>
#include <cstdint>
#include <optional>

#include "dragonflytack/base/clock.h"
#include "dragonflytack/routing/endpoint.h"
#include "routing/ejection.h"

namespace dragonflytack {

// What this node has seen of one endpoint: its own calls in flight, latencies,
// load reports and failures. It outlives snapshots that still name the
// endpoint.
class EndpointState final {
 public:
  // A refusal as overloaded keeps new calls away for this long.
  static constexpr Milliseconds kOverloadedPeriod{1000};
  // A refusal as draining keeps new calls away until the snapshot says so too.
  static constexpr Milliseconds kDrainingPeriod{3000};
  // What the node beside the target says of its queue holds for this long: a
  // few times the usual length of a call.
  static constexpr Milliseconds kOccupancyLife{300};
  // An endpoint with calls in flight that has answered none of them for this
  // time and kSilentLatencies of its mean latencies counts as silent. A call of
  // the longest usual kind may take five times the mean.
  static constexpr Milliseconds kSilentAtLeast{100};
  static constexpr double kSilentLatencies = 3;
  // Older load reports count as none.
  static constexpr Milliseconds kLoadReportLife{5000};
  static constexpr Milliseconds kWarmUp{10'000};
  static constexpr double kColdWeight = 0.1;

  // `slots` is the number of calls at which the endpoint counts as full.
  EndpointState(const Endpoint& endpoint,
                int slots,
                TimePoint now,
                int64_t wall_millis);

  // Takes over what a newer snapshot says.
  void Update(const Endpoint& endpoint,
              int slots,
              TimePoint now,
              int64_t wall_millis);

  const NodeRecord& record() const { return record_; }
  int in_flight() const { return in_flight_; }

  void OnSent(TimePoint now);
  // Takes note that an answer of any kind came. Returns how long the endpoint
  // had answered nothing when it counted as silent, else zero.
  Milliseconds OnResponse(TimePoint now);
  void OnEnded(AttemptOutcome end, std::chrono::nanoseconds latency);
  // `load` is 0 to 1; other values are cut.
  void OnLoadReport(double load, TimePoint now);
  // Calls running and waiting beside the target, as a share of its slots. The
  // node counts them itself, so unlike a load report this does not mislead.
  void OnOccupancy(double occupancy, TimePoint now) {
    occupancy_ = occupancy;
    occupancy_until_ = now + kOccupancyLife;
  }
  void OnOverloaded(TimePoint now) {
    overloaded_until_ = now + kOverloadedPeriod;
  }
  void OnDraining(TimePoint now) { draining_until_ = now + kDrainingPeriod; }

  // Lower is better: calls in flight times latency, changed by at most half by
  // the load report. The report is only a hint because it may lag or mislead.
  double Score(TimePoint now) const;

  // Share of the calls that a warm endpoint would get, kColdWeight to 1.
  double WarmWeight(TimePoint now) const;

  // `occupancy_limit` is the occupancy from which it counts as full.
  bool IsFull(TimePoint now, double occupancy_limit = 1) const {
    return in_flight_ >= slots_ * occupancy_limit || now < overloaded_until_ ||
           (now < occupancy_until_ && occupancy_ >= occupancy_limit);
  }
  // Whether its host may be dark or stand still. Only a call that is sent when
  // none is in flight, as the last resort or after the others ran out of time,
  // finds out that it answers again.
  bool IsSilent(TimePoint now) const;
  bool IsDraining(TimePoint now) const { return now < draining_until_; }

  Ejection& ejection() { return ejection_; }
  const Ejection& ejection() const { return ejection_; }

 private:
  NodeRecord record_;
  int slots_;
  int in_flight_ = 0;
  // Since when calls have had no answer of any kind; nothing when none is in
  // flight, unless the last one ran out of time.
  std::optional<TimePoint> unanswered_since_;
  double latency_us_;
  double load_ = 0;
  TimePoint load_until_{};
  double occupancy_ = 0;
  TimePoint occupancy_until_{};
  TimePoint overloaded_until_{};
  TimePoint draining_until_{};
  // When the warm-up began, by this node's clock.
  TimePoint warming_since_{};
  Ejection ejection_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_ROUTING_ENDPOINT_STATE_H_
