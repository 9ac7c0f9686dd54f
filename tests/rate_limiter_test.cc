#include "calls/rate_limiter.h"

#include <chrono>

#include <criterion/criterion.h>

namespace dragonflytack {

// Guards against rates above the limit and against a long burst after a pause.
Test(rate_limiter, limits_the_rate_and_the_burst_after_a_pause) {
  struct Case {
    double rate;
    // Bounds of the calls allowed, with one request per millisecond for 10 s.
    int min_taken;
    int max_taken;
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
    cr_expect(taken >= test.min_taken && taken <= test.max_taken, "%f: %d",
              test.rate, taken);
    now += Milliseconds(3'600'000);
    int burst = 0;
    while (burst < 20 && limiter.TryTake(now)) {
      ++burst;
    }
    cr_expect(test.rate == 0 || test.rate > 1000 || burst <= 10, "%f: %d",
              test.rate, burst);
  }
}

}  // namespace dragonflytack
