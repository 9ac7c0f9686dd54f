#include "routing/target_load_model.h"

#include <memory>
#include <string>
#include <utility>

#include <criterion/criterion.h>
#include <fmt/format.h>

#include "dragonflytack/base/manual_clock.h"
#include "routing/service_pool.h"

namespace dragonflytack {

namespace {

constexpr int kSlots = 9;
constexpr std::chrono::milliseconds kRunTime{230};

TargetLoadModel::View At(const ManualClock& clock, int in_flight = 0) {
  return {kSlots, in_flight, clock.Now(), kRunTime};
}

}  // namespace

// Guards against a report that is used as if it were new, and against one that
// is forgotten while calls have no response, when the target may be busiest.
Test(target_load_model, reports_lose_weight_with_their_age) {
  ManualClock clock;
  TargetLoadModel model;
  model.OnOccupancy(18, 0, clock.Now());
  cr_expect(!model.HasRoom(At(clock)));
  cr_expect_float_eq(model.EstimateCalls(At(clock)), 18, 0.01);
  const auto wait = model.ExpectedWait(At(clock));
  cr_expect(wait > kRunTime && wait < 1.5 * kRunTime, "%f", wait.count());
  clock.Advance(Milliseconds(4900));
  cr_expect_lt(model.EstimateCalls(At(clock)), 12);
  cr_expect_gt(model.EstimateCalls(At(clock, 1)), 15);
  clock.Advance(Milliseconds(100));
  cr_expect(model.HasRoom(At(clock)));
  cr_expect(!model.HasRoom(At(clock, 1)));
}

// Guards against many nodes that send calls to one free slot, and against a
// node that counts its calls several times where it is the only one.
Test(target_load_model, own_calls_stand_for_those_of_other_nodes) {
  ManualClock clock;
  TargetLoadModel shared;
  TargetLoadModel alone;
  shared.OnOccupancy(4, 0, clock.Now());
  alone.OnOccupancy(4, 4, clock.Now());
  for (TargetLoadModel* model : {&shared, &alone}) {
    model->OnSent();
    model->OnSent();
  }
  cr_expect_float_eq(shared.EstimateCalls(At(clock, 2)), 12, 0.01);
  cr_expect_float_eq(alone.EstimateCalls(At(clock, 6)), 6, 0.01);
  shared.OnOccupancy(6, 2, clock.Now());
  cr_expect_float_eq(shared.EstimateCalls(At(clock, 2)), 6, 0.01);
}

// Guards against a target that changes its weight or its wait by more than half
// with what it reports of itself.
Test(target_load_model, false_reports_change_little) {
  for (const TargetLoad& load :
       {TargetLoad(0, 0, 1, 1), TargetLoad(0, 0, 1'000'000, 1'000'000),
        TargetLoad(1'000'000, 1'000'000, 1, 1'000'000)}) {
    ManualClock clock;
    TargetLoadModel model;
    model.OnOccupancy(8, 1, clock.Now());
    const double weight = model.Weight(At(clock));
    const auto wait = model.ExpectedWait(At(clock));
    model.OnTargetReport(load, clock.Now());
    for (const double factor : {weight / model.Weight(At(clock)),
                                model.ExpectedWait(At(clock)) / wait}) {
      cr_expect(factor >= 0.499 && factor <= 1.501, "%f", factor);
    }
  }
}

// Guards against a region that is left for a short wait, or that is not left
// although calls wait there for much longer than the way to another one takes.
Test(target_load_model, expected_wait_decides_whether_the_region_is_left) {
  ManualClock clock;
  Random random(7);
  ServicePool pool(&clock, &random, "a", "a1");
  ServiceRoute route;
  route.row.service = "s";
  route.row.slots = kSlots;
  for (const char* region : {"a", "b"}) {
    Endpoint endpoint;
    endpoint.record.id = region;
    endpoint.record.region = region;
    endpoint.record.data_centre = fmt::format("{}1", region);
    endpoint.record.state = TargetState::kReady;
    route.endpoints.push_back(endpoint);
  }
  pool.Update(std::make_shared<const ServiceRoute>(route));
  // With 15 calls the wait exceeds the 1,016 ms that another region costs.
  constexpr auto kLongRunTime = 10 * kRunTime;
  const ServicePool::EndpointPtr near = pool.Choose({});
  for (const auto& [calls, expected] :
       {std::pair(8, "a"), std::pair(10, "a"), std::pair(15, "b")}) {
    near->OnSent(clock.Now());
    near->OnResponse(clock.Now());
    near->OnOccupancy(static_cast<double>(calls) / kSlots, clock.Now());
    pool.OnAttemptEnded(near.get(), AttemptOutcome::kSuccess, kLongRunTime);
    const std::string chosen = pool.Choose({})->record().id;
    cr_expect(chosen == expected, "%d calls: %s", calls, chosen.c_str());
  }
}

}  // namespace dragonflytack
