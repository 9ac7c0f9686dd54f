#ifndef DRAGONFLYTACK_SRC_CALLS_PROMPT_LOAD_H_
#define DRAGONFLYTACK_SRC_CALLS_PROMPT_LOAD_H_

#include <chrono>

#include "dragonflytack/base/clock.h"

namespace dragonflytack {

// Averages the load by calls that arrive early enough to meet their latency
// objective. They overtake late calls in the queue, which get only the slots
// that are left.
class PromptLoad final {
 public:
  // Period over which the arrivals are averaged.
  static constexpr Milliseconds kPeriod{500};

  // Records the arrival of a call with the given expected run time.
  void OnCall(std::chrono::nanoseconds run_time, TimePoint now);

  // Returns the share of `slots` that the calls leave, 0 to 1.
  double ShareLeft(int slots, TimePoint now) const;

 private:
  // Returns the run time of the calls of about the last kPeriod.
  double WorkAt(TimePoint now) const;

  double work_ns_ = 0;
  TimePoint updated_at_{};
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_CALLS_PROMPT_LOAD_H_
