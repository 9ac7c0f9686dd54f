#ifndef DRAGONFLYTACK_SRC_ROUTING_SERVICE_POOL_H_
#define DRAGONFLYTACK_SRC_ROUTING_SERVICE_POOL_H_

#include <array>
#include <chrono>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "dragonflytack/base/clock.h"
#include "dragonflytack/base/random.h"
#include "dragonflytack/routing/service_route.h"
#include "routing/endpoint_state.h"
#include "routing/retry_budget.h"

namespace dragonflytack {

// The endpoints of one service that may get calls, near ones first, and the
// choice among them.
class ServicePool final {
 public:
  using EndpointPtr = std::shared_ptr<EndpointState>;

  // One choice in this many ignores the scores, so that an endpoint that looks
  // slow or full is still probed and gets some calls.
  static constexpr int kProbeOneIn = 16;

  // Calls leave the region only when the near endpoints have this many calls a
  // slot, running and waiting. Traffic between regions is billed by volume, and
  // the wait for one call is about as long as the way there and back.
  static constexpr double kOccupancyToLeave = 2;

  // `clock` and `random` must outlive the pool.
  ServicePool(const Clock* clock,
              Random* random,
              std::string region,
              std::string data_centre);

  // Takes over a newer route. State of endpoints that stay is kept.
  void Update(std::shared_ptr<const ServiceRoute> route);

  // Null before the first Update().
  const std::shared_ptr<const ServiceRoute>& route() const { return route_; }
  size_t size() const { return states_.size(); }
  RetryBudget& retry_budget() { return retry_budget_; }

  // Returns the endpoint for the next attempt, null when there is none besides
  // those in `excluded`. Full and ejected endpoints are returned only when no
  // other one is left.
  EndpointPtr Choose(const std::vector<EndpointPtr>& excluded);

  // Returns the endpoint for a second attempt beside a running one: one with
  // room in the own region, or elsewhere when the region has no other. Null
  // when there is none, since the first attempt may still succeed.
  EndpointPtr ChooseSecond(const std::vector<EndpointPtr>& excluded);

  // Records the end of an attempt that was counted with OnSent(). Returns
  // whether the endpoint was ejected because of it.
  bool OnEnded(EndpointState* endpoint,
               AttemptOutcome end,
               std::chrono::nanoseconds latency);

 private:
  enum Tier { kOwnDataCentre, kOwnRegion, kOtherRegions, kTierCount };
  struct Candidate {
    EndpointPtr state;
    // Weight of the region relative to the heaviest one of the tier, 0 to 1.
    double weight;
  };
  using Candidates = std::vector<Candidate>;

  Tier TierOf(const NodeRecord& record) const;
  const Candidate* Draw(const Candidates& tier,
                        const std::vector<EndpointPtr>& excluded,
                        double occupancy_limit,
                        TimePoint now);
  const Candidate* ChooseIn(const Candidates& tier,
                            const std::vector<EndpointPtr>& excluded,
                            double occupancy_limit,
                            TimePoint now);
  const Candidate* Better(const Candidate* a,
                          const Candidate* b,
                          TimePoint now);
  const Candidate* LastResort(const std::vector<EndpointPtr>& excluded,
                              TimePoint now);

  const Clock* const clock_;
  Random* const random_;
  const std::string region_;
  const std::string data_centre_;
  std::shared_ptr<const ServiceRoute> route_;
  std::array<Candidates, kTierCount> tiers_;
  // Share of calls that stay in the own region when nothing is wrong there.
  double own_share_ = 1;
  std::unordered_map<NodeId, EndpointPtr> states_;
  RetryBudget retry_budget_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_ROUTING_SERVICE_POOL_H_
