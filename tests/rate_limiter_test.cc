#include "calls/rate_limiter.h"

#include <chrono>

#include <criterion/criterion.h>

namespace dragonflytack {

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

}  // namespace dragonflytack
