#ifndef DRAGONFLYTACK_SRC_CALLS_RETRY_SHARE_H_
#define DRAGONFLYTACK_SRC_CALLS_RETRY_SHARE_H_

namespace dragonflytack {

// The share of retries among the calls that the local target runs. Calls that
// the target makes cannot be attributed to the run that makes them, so each
// counts as a retry by this share.
class RetryShare final {
 public:
  void OnRun(bool is_retry) {
    share_ += kNewestRunWeight * ((is_retry ? 1.0 : 0.0) - share_);
  }
  double share() const { return share_; }

 private:
  // Averages over about the last 50 runs, one to two seconds of a busy target.
  static constexpr double kNewestRunWeight = 0.02;

  double share_ = 0;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_CALLS_RETRY_SHARE_H_
