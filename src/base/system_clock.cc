#include "dragonflytack/base/system_clock.h"

namespace dragonflytack {

TimePoint SystemClock::Now() const {
  return std::chrono::steady_clock::now();
}

int64_t SystemClock::WallMillis() const {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<Milliseconds>(since_epoch).count();
}

}  // namespace dragonflytack
