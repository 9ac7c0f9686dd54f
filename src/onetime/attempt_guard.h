#ifndef DRAGONFLYTACK_ONETIME_ATTEMPT_GUARD_H_
#define DRAGONFLYTACK_ONETIME_ATTEMPT_GUARD_H_

#include <bitset>
#include <cstdint>
#include <map>
#include <utility>

#include "dragonflytack/base/clock.h"
#include "onetime/attempt_id.h"

namespace dragonflytack {

// Tracks, at the node beside a target, which attempts were started or refused.
// An attempt reported as not started is therefore not started by a late copy
// either. Keeps a window over the newest sequence numbers of each dispatching
// process, like the anti-replay window of RFC 4303. An attempt older than the
// window is never started, so its state can be dropped.
class AttemptGuard final {
 public:
  // Must exceed the number of calls that one dispatcher can have in flight at
  // one target (slots and queue: 12 + 64 by default). An attempt that arrives
  // after this many newer ones has an unknown outcome.
  static constexpr uint64_t kWindowSize = 256;
  // Exceeds the number of dispatching processes in one day: 5,300 nodes and 540
  // restarts.
  static constexpr size_t kMaxWindows = 16'384;

  enum class Decision {
    // The attempt arrived for the first time: the call may be passed to the
    // target.
    kStart,
    kAlreadyStarted,
    // The attempt was not started and never will be.
    kNotStarted,
    // The attempt is older than the window, addressed to an earlier process of
    // this node, or would need more than kMaxWindows windows. This request does
    // not start it, but an earlier one may have.
    kTooOld,
  };

  explicit AttemptGuard(uint64_t own_incarnation)
      : own_incarnation_(own_incarnation) {}

  // Decides whether an attempt that arrived is started.
  Decision Admit(const AttemptId& id, TimePoint now);

  // Marks an admitted attempt as not started. May be called once, only by the
  // caller that received kStart, and only if no byte was sent to the target or
  // the target reported that it did not run the call.
  void Withdraw(const AttemptId& id);

  // Returns the state of an attempt whose response the dispatcher did not
  // receive. An attempt that has not arrived yet is refused permanently. Never
  // returns kStart.
  Decision RefuseUnlessSeen(const AttemptId& id, TimePoint now);

  // Drops the windows of dispatchers that sent no attempt for a day; no copy of
  // a message is delayed that long.
  void Sweep(TimePoint now);

  size_t windows() const { return windows_.size(); }

 private:
  struct Window {
    uint64_t newest = 0;
    std::bitset<kWindowSize> seen;
    std::bitset<kWindowSize> refused;
    TimePoint last_used;
  };

  // Returns the dispatcher's window, advanced to cover the attempt, or null if
  // it cannot cover the attempt.
  Window* AdvanceWindow(const AttemptId& id, TimePoint now);

  const uint64_t own_incarnation_;
  std::map<std::pair<NodeId, uint64_t>, Window> windows_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_ONETIME_ATTEMPT_GUARD_H_
