#ifndef DRAGONFLYTACK_ONETIME_ATTEMPT_GUARD_H_
#define DRAGONFLYTACK_ONETIME_ATTEMPT_GUARD_H_

#include <bitset>
#include <cstdint>
#include <map>
#include <utility>

#include "dragonflytack/base/clock.h"
#include "onetime/attempt_id.h"

namespace dragonflytack {

// The memory of the node beside a target about the attempts it started or
// refused, so that "not started" is a promise that a late copy cannot break.
// For each dispatching process it holds a window over the newest sequence
// numbers, as the anti-replay window of RFC 4303 does. An attempt older than
// the window is never started, so nothing is forgotten.
class AttemptGuard final {
 public:
  // Above the calls that one dispatcher can have under way at one target (the
  // slots and the queue: 12 + 64 by default). Attempts that arrive later than
  // this many newer ones end as unknown.
  static constexpr uint64_t kWindow = 256;
  // Above 5,300 nodes with the 540 restarts of each day.
  static constexpr size_t kMaxWindows = 16'384;

  enum class Decision {
    // Seen for the first time: the call may be passed to the target.
    kStart,
    kAlreadyStarted,
    // It did not start and never will.
    kNotStarted,
    // Not started by this request, but it may have been by an earlier one.
    kTooOld,
  };

  explicit AttemptGuard(uint64_t own_incarnation)
      : own_incarnation_(own_incarnation) {}

  // Decides about an attempt that arrived.
  Decision Admit(const AttemptId& id, TimePoint now);

  // Takes back an admitted attempt of which no byte was sent to the target.
  // Only the holder of a kStart verdict may call this, once.
  void Withdraw(const AttemptId& id);

  // Answers a dispatcher that lost the answer: an attempt that has not been
  // seen is refused for good. Never returns kStart.
  Decision Settle(const AttemptId& id, TimePoint now);

  // Drops windows of dispatchers that were silent for a day; no copy of a
  // message lives that long.
  void Sweep(TimePoint now);

  size_t windows() const { return windows_.size(); }

 private:
  struct Window {
    uint64_t newest = 0;
    std::bitset<kWindow> seen;
    std::bitset<kWindow> refused;
    TimePoint last_used;
  };

  // Returns the window moved so that it covers the attempt, null when the
  // attempt is not covered.
  Window* Cover(const AttemptId& id, TimePoint now);

  const uint64_t own_incarnation_;
  std::map<std::pair<NodeId, uint64_t>, Window> windows_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_ONETIME_ATTEMPT_GUARD_H_
