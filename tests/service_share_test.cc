#include "calls/service_share.h"

#include <algorithm>
#include <cmath>
#include <string>

#include <criterion/criterion.h>

namespace dragonflytack {

// Guards against shares that do not add up to the limit of the service, and
// against endpoints with a share of 0.
Test(service_share, shares_add_up_and_none_is_zero) {
  ServiceRoute route;
  for (int i = 0; i < 7; ++i) {
    Endpoint endpoint;
    endpoint.record.id = std::to_string(i);
    endpoint.record.state =
        i == 5 ? TargetState::kDraining : TargetState::kReady;
    endpoint.liveness = i == 6 ? Liveness::kDead : Liveness::kAlive;
    route.endpoints.push_back(endpoint);
  }
  for (const int value : {1, 4, 5, 7, 12, 1000}) {
    int sum = 0;
    double rate = 0;
    for (int i = 0; i < 5; ++i) {
      const ServiceShare share = ServiceShare::Of(route, std::to_string(i));
      cr_expect_eq(share.endpoints, 5);
      cr_expect_geq(share.OfCount(value), 1);
      sum += share.OfCount(value);
      rate += share.OfRate(value);
    }
    cr_expect_eq(sum, std::max(value, 5), "%d: %d", value, sum);
    cr_expect(std::abs(rate - value) < 1e-9);
  }
  // A node that is not in the routes yet counts itself.
  cr_expect((ServiceShare::Of(route, "9") == ServiceShare{6, 5}));
}

}  // namespace dragonflytack
