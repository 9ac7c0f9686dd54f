#ifndef DRAGONFLYTACK_STORE_WATCH_TIMING_H_
#define DRAGONFLYTACK_STORE_WATCH_TIMING_H_

#include <algorithm>

#include "dragonflytack/base/clock.h"

namespace dragonflytack {

// Times of the watch requests to a store. A connection that carries no more
// bytes, but is not closed, is detected only by a missing response, so the sum
// of both times is the longest time for which a change can go unnoticed. A
// change must be in force 3 s after a connection became silent; the rest of the
// 3 s is for the next read and for sending the change to all nodes.
struct WatchTiming final {
  // Longest wait of one watch request at the store.
  static constexpr Milliseconds kMaxWait{1'250};
  // Time for the response to arrive after the wait.
  static constexpr Milliseconds kResponseTime{750};

  // Returns when a watch request that waits for `wait` is given up, if other
  // requests to the store are given up after `request_timeout`.
  static Milliseconds Timeout(Milliseconds wait, Milliseconds request_timeout) {
    return wait + std::min(request_timeout, kResponseTime);
  }
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_STORE_WATCH_TIMING_H_
