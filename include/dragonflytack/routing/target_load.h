#ifndef DRAGONFLYTACK_ROUTING_TARGET_LOAD_H_
#define DRAGONFLYTACK_ROUTING_TARGET_LOAD_H_

#include <string>

namespace dragonflytack {

// The load that a target reports of itself. Immutable.
class TargetLoad final {
 public:
  // Work takes as long as usual.
  static constexpr int kUsualWorkTime = 100;
  // Slots of a load that was reported as a share of the capacity.
  static constexpr int kShareSlots = 1000;
  // No figure is larger, so that sums of figures cannot overflow.
  static constexpr int kMaxFigure = 1'000'000;

  // `running` and `waiting` are from 0 and `slots` and `work_time_percent` from
  // 1 to kMaxFigure.
  TargetLoad(int running,
             int waiting,
             int slots,
             int work_time_percent = kUsualWorkTime)
      : running_(running),
        waiting_(waiting),
        slots_(slots),
        work_time_percent_(work_time_percent) {}

  // Returns the load of a target that reports only a share of its capacity,
  // which is clamped to 0 to 1.
  static TargetLoad FromShare(double share);

  // Calls that run, and calls that wait at the target for a slot.
  int running() const { return running_; }
  int waiting() const { return waiting_; }
  // Calls that the target can run at a time.
  int slots() const { return slots_; }
  // How long work takes at this moment compared to the usual time: 100 is as
  // usual, 200 is half the speed.
  int work_time_percent() const { return work_time_percent_; }

  // Returns the calls per slot, running and waiting. It may exceed 1.
  double occupancy() const {
    return static_cast<double>(running_ + waiting_) / slots_;
  }

  // Returns the value of x-load between nodes: the four figures separated by
  // commas, or the thousandths of the capacity if only a share is known.
  std::string ToHeader() const;

  friend bool operator==(const TargetLoad&, const TargetLoad&) = default;

 private:
  int running_;
  int waiting_;
  int slots_;
  int work_time_percent_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_ROUTING_TARGET_LOAD_H_
