#ifndef DRAGONFLYTACK_SRC_CALLS_ADMISSION_QUEUE_H_
#define DRAGONFLYTACK_SRC_CALLS_ADMISSION_QUEUE_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "calls/prompt_load.h"
#include "calls/run_times.h"
#include "calls/slot_limiter.h"
#include "calls/wait_queue.h"
#include "dragonflytack/base/clock.h"

namespace dragonflytack {

// Decides which calls run at the local target, which wait for a slot and which
// are refused. Has no I/O and no timers: the caller passes the time and sends
// what is decided. Does not own its items.
template <typename Item>
class AdmissionQueue final {
 public:
  // Requirements of a call.
  struct Terms {
    // Route whose run times are expected; may be empty.
    std::string route;
    TimePoint objective;
    TimePoint deadline;
    // Urgency; 0 is the most urgent.
    int rank = 0;
  };

  enum class Decision {
    // The call has taken a slot.
    kStart,
    kWait,
    // Refused: the deadline cannot be met.
    kTooLate,
    // Refused: the queue is full of calls with higher priority.
    kFull,
  };

  SlotLimiter& slots() { return slots_; }
  const SlotLimiter& slots() const { return slots_; }
  size_t size() const { return queue_.size(); }
  bool empty() const { return queue_.empty(); }

  // Adds the run time of a call to the averages.
  void RecordRunTime(std::string_view route,
                     std::chrono::nanoseconds run_time) {
    slots_.RecordRunTime(run_time);
    run_times_.Record(route, run_time);
  }

  // Returns a time that most calls of a route run at most; zero if none has
  // ended yet.
  std::chrono::nanoseconds LikelyRunTime(std::string_view route) const {
    return run_times_.Likely(route);
  }

  // Decides on a call that arrives. If it takes the place of another one in the
  // queue of `max_size`, `displaced` is set to that, which is to be refused.
  Decision Offer(Item* item,
                 const Terms& terms,
                 size_t max_size,
                 TimePoint now,
                 Item** displaced) {
    *displaced = nullptr;
    const QueuePriority priority = PriorityOf(terms);
    if (priority.objective >= now) {
      prompt_load_.OnCall(run_times_.Mean(terms.route), now);
    }
    // A free slot is used even if the average run time indicates that the
    // deadline cannot be met: otherwise no call would ever correct the average.
    if (slots_.TryTake()) {
      return Decision::kStart;
    }
    const double share = priority.objective >= now
                             ? 1
                             : prompt_load_.ShareLeft(slots_.limit(), now);
    if (share < kMinShare ||
        now + WaitBehind(queue_.CountAhead(priority, now), share) >
            priority.deadline) {
      return Decision::kTooLate;
    }
    if (queue_.size() >= max_size) {
      *displaced = queue_.PopLastIfBehind(priority, now);
      if (*displaced == nullptr) {
        return Decision::kFull;
      }
    }
    queue_.Push(priority, now, item);
    return Decision::kWait;
  }

  // Takes a slot for the next call and removes it from the queue. Returns null
  // if no slot is free or the queue is empty.
  Item* StartNext(TimePoint now) {
    if (queue_.empty() || !slots_.TryTake()) {
      return nullptr;
    }
    return queue_.Pop(now);
  }

  // Removes and returns a call that can no longer meet its deadline, null if
  // there is none.
  Item* PopExpired(TimePoint now) { return queue_.PopExpired(now); }

  // Removes and returns a late call that is not expected to get a slot before
  // its deadline, null if there is none or a slot is free. Such a call is
  // refused while its caller still has time for another attempt.
  Item* PopHopeless(TimePoint now) {
    if (slots_.has_free()) {
      return nullptr;
    }
    const double share = prompt_load_.ShareLeft(slots_.limit(), now);
    return queue_.PopLateIf(now, [&](const QueuePriority& priority) {
      return share < kMinShare ||
             now + WaitBehind(queue_.size() - 1, share) > priority.deadline;
    });
  }

  // Removes and returns the last call if it is not expected to end by `end`,
  // otherwise null.
  Item* PopEndingAfter(TimePoint end, TimePoint now) {
    if (queue_.empty() || ExpectedEnd(queue_.size() - 1, now) <= end) {
      return nullptr;
    }
    return queue_.PopLast(now);
  }

  // Returns when a call is expected to end that is started now.
  TimePoint ExpectedEnd(TimePoint now) const {
    return now + std::chrono::duration_cast<TimePoint::duration>(
                     slots_.average_run_time());
  }

  // Removes and returns any call, null if the queue is empty.
  Item* Pop(TimePoint now) { return queue_.Pop(now); }

  // Removes a call. Returns false if it was not in the queue.
  bool Remove(Item* item) { return queue_.Remove(item); }

  // Returns when PopExpired() will return a call, unless that is started
  // before.
  std::optional<TimePoint> EarliestExpiry() const {
    return queue_.EarliestDeadline();
  }

  // Returns the time after which a refused call should come back. A late call
  // is of the same use until its deadline, so it returns when a passing
  // overload may have ended; others when the calls waiting now have started.
  Milliseconds RetryAfter(const Terms& terms, TimePoint now) const {
    constexpr int kPartOfTimeLeft = 4;
    const TimePoint::duration drained = WaitBehind(queue_.size(), 1);
    if (PriorityOf(terms).objective >= now + drained) {
      return std::chrono::ceil<Milliseconds>(drained);
    }
    return std::chrono::ceil<Milliseconds>(
        std::max(drained, (terms.deadline - now) / kPartOfTimeLeft));
  }

 private:
  // With a smaller share, the expected wait exceeds the deadlines in use and is
  // mostly noise.
  static constexpr double kMinShare = 0.05;

  // The latest times at which the call can be started. Whether it meets its
  // objective is decided by a run time that most calls do not exceed: with the
  // mean, half of the calls that are started last would be late.
  QueuePriority PriorityOf(const Terms& terms) const {
    return {terms.objective - std::chrono::duration_cast<TimePoint::duration>(
                                  run_times_.Likely(terms.route)),
            terms.deadline - std::chrono::duration_cast<TimePoint::duration>(
                                 run_times_.Mean(terms.route)),
            terms.rank};
  }

  // Returns when a call is expected to end that is started after `ahead`
  // others.
  TimePoint ExpectedEnd(size_t ahead, TimePoint now) const {
    return ExpectedEnd(now) + WaitBehind(ahead, 1);
  }

  // Returns the expected wait of a call behind `ahead` others that get `share`
  // of the slots, above 0.
  TimePoint::duration WaitBehind(size_t ahead, double share) const {
    // A slot becomes free every average_run_time / limit.
    const double wait_ns =
        static_cast<double>(ahead + 1) *
        static_cast<double>(slots_.average_run_time().count()) /
        (std::max(slots_.limit(), 1) * share);
    return std::chrono::duration_cast<TimePoint::duration>(
        std::chrono::nanoseconds(static_cast<int64_t>(wait_ns)));
  }

  SlotLimiter slots_;
  RunTimes run_times_;
  PromptLoad prompt_load_;
  WaitQueue<Item> queue_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_CALLS_ADMISSION_QUEUE_H_
