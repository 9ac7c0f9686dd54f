#ifndef DRAGONFLYTACK_SRC_CALLS_REPEAT_SHARE_H_
#define DRAGONFLYTACK_SRC_CALLS_REPEAT_SHARE_H_

namespace dragonflytack {

// Which share of the calls that the local target runs are repetitions. The
// calls that the target makes cannot be told apart by the run that makes them,
// so each counts as a repetition by this share.
class RetryShare final {
 public:
  void OnRun(bool repeated) {
    share_ += kWeightOfNewest * ((repeated ? 1.0 : 0.0) - share_);
  }
  double share() const { return share_; }

 private:
  // Averages over about the last 50 runs: a second or two of a busy target.
  static constexpr double kWeightOfNewest = 0.02;

  double share_ = 0;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_CALLS_REPEAT_SHARE_H_
