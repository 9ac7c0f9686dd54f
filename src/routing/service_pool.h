#ifndef DRAGONFLYTACK_SRC_ROUTING_SERVICE_POOL_H_
#define DRAGONFLYTACK_SRC_ROUTING_SERVICE_POOL_H_

#include <array>
#include <chrono>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "dragonflytack/base/clock.h"
#include "dragonflytack/base/random.h"
#include "dragonflytack/routing/service_route.h"
#include "routing/endpoint_state.h"
#include "routing/retry_budget.h"
#include "routing/target_load_model.h"

namespace dragonflytack {

// Load balancer of one service: holds the endpoints that may receive calls, in
// tiers by distance, and chooses the endpoint of each attempt.
class ServicePool final {
 public:
  using EndpointPtr = std::shared_ptr<EndpointState>;

  // One choice in this many among endpoints with room ignores their weights and
  // earlier failures, so that an endpoint that was slow or failed still
  // receives some calls and can recover.
  static constexpr int kProbeOneIn = 16;

  // Endpoints of this node's region that have this many calls per slot, running
  // and queued, are passed over for other regions. Below that the expected wait
  // decides, because traffic between regions is billed by volume.
  static constexpr double kSpilloverOccupancy = 2;

  // `clock` and `random` must outlive the pool.
  ServicePool(const Clock* clock,
              Random* random,
              std::string region,
              std::string data_centre);

  // Applies a newer route. Keeps the state of endpoints that remain in it.
  void Update(std::shared_ptr<const ServiceRoute> route);

  // Null before the first Update().
  const std::shared_ptr<const ServiceRoute>& route() const { return route_; }
  size_t size() const { return states_.size(); }
  RetryBudget& retry_budget() { return retry_budget_; }

  // Returns the endpoint for the next attempt, or null if the pool has none
  // besides those in `excluded`. Full, unresponsive, ejected and draining
  // endpoints are returned only if no other one is left.
  EndpointPtr Choose(const std::vector<EndpointPtr>& excluded);

  // Returns whether an endpoint that is not in `excluded` may have a free slot,
  // or room for `occupancy` calls per slot. Endpoints that are unresponsive,
  // ejected or draining have none.
  bool HasRoom(const std::vector<EndpointPtr>& excluded,
               double occupancy) const;

  // Returns the endpoint for a hedged attempt: a usable one in this node's
  // region, or in another region if all endpoints of the region are in
  // `excluded`. Returns null rather than an endpoint that is full,
  // unresponsive, ejected or draining, since the first attempt may still
  // succeed.
  EndpointPtr ChooseForHedge(const std::vector<EndpointPtr>& excluded);

  // Records the outcome of an attempt that was counted with OnSent(). Returns
  // whether the endpoint was ejected because of it.
  bool OnAttemptEnded(EndpointState* endpoint,
                      AttemptOutcome outcome,
                      std::chrono::nanoseconds latency);

 private:
  // Groups of endpoints, nearest first.
  enum Tier { kOwnDataCentre, kOwnRegion, kOtherRegions, kTierCount };
  struct Candidate {
    EndpointPtr state;
    // Weight of the region divided by the highest weight of the tier; above 0,
    // at most 1.
    double weight;
  };
  using Candidates = std::vector<Candidate>;
  using Tiers = std::array<Candidates, kTierCount>;
  // Groups of endpoints by release. Without a roll-out all are in kOldRelease.
  enum Side { kOldRelease, kNewRelease, kSideCount };

  Tier TierOf(const NodeRecord& record) const;
  // Returns the side of a release, or std::nullopt if it is held.
  std::optional<Side> SideOf(const std::string& release, TimePoint now) const;
  // Adds the endpoints of a release whose hold has ended.
  void EndHolds();
  // Draws the side of an attempt by the share of the roll-out.
  Side DrawSide();
  // Returns a usable endpoint of a side, or null if it has none. Cold endpoints
  // are usable for the new release, which has no others at first.
  const Candidate* ChooseUsable(Side side,
                                const std::vector<EndpointPtr>& excluded,
                                TimePoint now);
  // Returns a usable candidate of a tier that has room, at random by the
  // weights of TargetLoadModel; in one of kProbeOneIn choices regardless of
  // these. Returns null if none was found.
  const Candidate* ChooseIn(const Candidates& tier,
                            const std::vector<EndpointPtr>& excluded,
                            double occupancy_limit,
                            TimePoint now);
  struct CostedCandidate {
    const Candidate* candidate = nullptr;
    TargetLoadModel::Microseconds cost{0};
  };
  // Returns the usable candidate of these tiers with the least expected wait,
  // counting the distance, or a null candidate if there is none. Near ones are
  // usable up to `near_occupancy_limit` calls per slot. Used when no near
  // candidate has room.
  CostedCandidate ChooseLeastWait(const Tiers& tiers,
                                  std::span<const Tier> compared_tiers,
                                  double near_occupancy_limit,
                                  const std::vector<EndpointPtr>& excluded,
                                  TimePoint now);
  // Returns the best candidate of all tiers, usable or not, or null if all are
  // excluded. With `must_be_usable` a candidate that is not usable is not
  // returned.
  const Candidate* ChooseLastResort(const Tiers& tiers,
                                    const std::vector<EndpointPtr>& excluded,
                                    TimePoint now,
                                    bool must_be_usable);

  const Clock* const clock_;
  Random* const random_;
  const std::string region_;
  const std::string data_centre_;
  std::shared_ptr<const ServiceRoute> route_;
  std::array<Tiers, kSideCount> sides_;
  // When the first hold of a release ends.
  TimePoint hold_end_ = TimePoint::max();
  // Share of the calls that are first offered to this node's region.
  double own_region_share_ = 1;
  std::unordered_map<NodeId, EndpointPtr> states_;
  // Mean time of the calls that succeeded.
  TargetLoadModel::Microseconds usual_run_time_{0};
  RetryBudget retry_budget_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_ROUTING_SERVICE_POOL_H_
