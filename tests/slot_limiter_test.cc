#include "calls/slot_limiter.h"

#include <chrono>

#include <criterion/criterion.h>

#include "dragonflytack/base/clock.h"

namespace dragonflytack {

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

}  // namespace dragonflytack
