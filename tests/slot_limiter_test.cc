#include "calls/slot_limiter.h"

#include <chrono>

#include <criterion/criterion.h>

#include "dragonflytack/base/clock.h"

namespace dragonflytack {

// Guards against more running calls than slots, also after the limit was
// lowered, and against an expected latency that ignores the queue.
Test(slot_limiter, limits_running_calls_and_estimates_latency) {
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
  cr_expect_eq(slots.ExpectedLatency(100).count(), 0);
  for (int i = 0; i < 100; ++i) {
    slots.RecordRunTime(Milliseconds(10));
  }
  const auto expected =
      std::chrono::round<Milliseconds>(slots.ExpectedLatency(3));
  cr_expect_eq(expected.count(), 4 * 10 / 2 + 10);
}

}  // namespace dragonflytack
