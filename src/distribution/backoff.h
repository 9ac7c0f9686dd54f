#ifndef DRAGONFLYTACK_SRC_DISTRIBUTION_BACKOFF_H_
#define DRAGONFLYTACK_SRC_DISTRIBUTION_BACKOFF_H_

#include <algorithm>

#include "dragonflytack/base/clock.h"
#include "dragonflytack/base/random.h"

namespace dragonflytack {

// Exponential backoff between a minimum and a maximum delay. Each delay is
// drawn from the upper half of its span, so that many nodes do not retry at the
// same time.
class Backoff final {
 public:
  Backoff(Milliseconds minimum, Milliseconds maximum)
      : minimum_(minimum), maximum_(maximum), next_(minimum) {}

  Milliseconds Next(Random* random) {
    const Milliseconds span = next_;
    next_ = std::min(maximum_, next_ * 2);
    return span / 2 +
           Milliseconds(static_cast<int64_t>(
               random->Unit() * static_cast<double>(span.count()) / 2));
  }
  void Reset() { next_ = minimum_; }

 private:
  Milliseconds minimum_;
  Milliseconds maximum_;
  Milliseconds next_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_DISTRIBUTION_BACKOFF_H_
