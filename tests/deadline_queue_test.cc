#include "calls/deadline_queue.h"

#include <criterion/criterion.h>

#include "calls/rate_limiter.h"
#include "calls/service_share.h"
#include "calls/slot_limiter.h"

namespace dragonflytack {

// Guards against calls that overtake ones with an earlier deadline, and against
// removed calls that are run.
Test(deadline_queue, orders_by_deadline_then_arrival) {
  DeadlineQueue<int> queue;
  const TimePoint start{};
  int items[4] = {0, 1, 2, 3};
  const int deadlines[4] = {30, 10, 20, 10};
  for (int i = 0; i < 4; ++i) {
    queue.Push(start + Milliseconds(deadlines[i]), &items[i]);
  }
  cr_expect_eq(queue.CountAhead(start + Milliseconds(10)), 2);
  cr_expect_eq(queue.CountAhead(start + Milliseconds(9)), 0);
  cr_expect_eq(queue.CountAhead(start + Milliseconds(99)), 4);
  cr_expect(queue.Remove(start + Milliseconds(20), &items[2]));
  cr_expect(!queue.Remove(start + Milliseconds(20), &items[2]));
  cr_expect(*queue.EarliestDeadline() == start + Milliseconds(10));
  for (const int expected : {1, 3, 0}) {
    cr_expect_eq(*queue.Pop(), expected);
  }
  cr_expect(queue.Pop() == nullptr && queue.empty());
}

// Guards against more running calls than slots, also after the limit fell, and
// against an estimate that ignores the queue.
Test(slot_limiter, limits_and_estimates) {
  SlotLimiter slots;
  slots.set_limit(4);
  for (int i = 0; i < 4; ++i) {
    cr_expect(slots.TryTake());
  }
  cr_expect(!slots.TryTake());
  slots.set_limit(2);
  slots.Release();
  slots.Release();
  cr_expect(!slots.TryTake());
  slots.Release();
  cr_expect(slots.TryTake());
  cr_expect_eq(slots.ExpectedTime(100).count(), 0);
  for (int i = 0; i < 100; ++i) {
    slots.RecordTime(Milliseconds(10));
  }
  const auto expected = std::chrono::round<Milliseconds>(slots.ExpectedTime(3));
  cr_expect_eq(expected.count(), 4 * 10 / 2 + 10);
}

// Guards against rates above the limit and against a burst after a pause.
Test(rate_limiter, keeps_the_rate_and_a_short_burst) {
  struct Case {
    double rate;
    // Calls taken out of one try every millisecond for 10 s.
    int least;
    int most;
  };
  for (const Case& test : {Case{0, 10'000, 10'000}, Case{100, 1000, 1011},
                           Case{0.5, 5, 6}, Case{1e6, 10'000, 10'000}}) {
    RateLimiter limiter;
    TimePoint now{std::chrono::hours(1)};
    limiter.SetRate(test.rate, now);
    int taken = 0;
    for (int i = 0; i < 10'000; ++i) {
      now += Milliseconds(1);
      // A new snapshot must not refill the bucket.
      limiter.SetRate(test.rate, now);
      taken += limiter.TryTake(now) ? 1 : 0;
    }
    cr_expect(taken >= test.least && taken <= test.most, "%f: %d", test.rate,
              taken);
    now += Milliseconds(3'600'000);
    int burst = 0;
    while (burst < 20 && limiter.TryTake(now)) {
      ++burst;
    }
    cr_expect(test.rate == 0 || test.rate > 1000 || burst <= 10, "%f: %d",
              test.rate, burst);
  }
}

// Guards against shares that do not add up to the cell, and endpoints with a
// share of 0.
Test(service_share, parts_add_up_and_none_is_zero) {
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
  // A node that the routes do not name yet counts itself.
  cr_expect((ServiceShare::Of(route, "9") == ServiceShare{6, 5}));
}

}  // namespace dragonflytack
