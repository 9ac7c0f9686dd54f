#ifndef DRAGONFLYTACK_BASE_MANUAL_CLOCK_H_
#define DRAGONFLYTACK_BASE_MANUAL_CLOCK_H_

#include "dragonflytack/base/clock.h"

namespace dragonflytack {

// A clock that moves only through Advance(), for deterministic tests.
class ManualClock final : public Clock {
 public:
  TimePoint Now() const override { return now_; }
  int64_t WallMillis() const override { return wall_millis_; }

  void Advance(Milliseconds by) {
    now_ += by;
    wall_millis_ += by.count();
  }
  // Sets the time of day back or forward.
  void StepWall(Milliseconds by) { wall_millis_ += by.count(); }

 private:
  // Does not start at zero, so that a default-constructed TimePoint is in the
  // past.
  TimePoint now_{std::chrono::hours(1)};
  int64_t wall_millis_ = 1'700'000'000'000;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_BASE_MANUAL_CLOCK_H_
