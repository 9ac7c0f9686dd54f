#ifndef DRAGONFLYTACK_SRC_ROLLOUT_ROLLOUT_JUDGE_H_
#define DRAGONFLYTACK_SRC_ROLLOUT_ROLLOUT_JUDGE_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "dragonflytack/base/clock.h"
#include "dragonflytack/registry/node_id.h"
#include "dragonflytack/rollout/release_evidence.h"

namespace dragonflytack {

// Decides the steps of one roll-out from the evidence of the targets. Performs
// no I/O; times are those since the order.
//
// The share of the new release rises in small steps and then to kFullShare
// shortly before the deadline. A release that turns bad only after the last
// step can get all calls until the deadline, so the small steps are limited to
// what this leaves of the permitted exposure.
class RolloutJudge final {
 public:
  static constexpr int kFullShare = 1000;
  // Calls to the old targets have this long to end before `completed`, after
  // which these targets stop without draining. It includes the propagation of
  // the last step, about 300 ms.
  static constexpr Milliseconds kFullShareTime{850};

  // Time until a share is in force on all nodes. Calls may be sent by the share
  // before for this long after a rollback.
  static constexpr Milliseconds kSharePropagation{1'500};

  struct Limits {
    // A bad release gets at most `exposure` times the calls of the service
    // between order and deadline, plus `exposure_slack`.
    double exposure = 0.1;
    int exposure_slack = 50;
    // From the order to the deadline.
    Milliseconds duration{0};
    // Time after the 50th bad response in which the last call may be sent.
    Milliseconds rollback{5'000};
  };

  enum class Decision { kKeep, kStep, kRollBack, kComplete };
  struct Verdict {
    Decision decision = Decision::kKeep;
    // The new share in thousandths, for kStep.
    int share = 0;
    // Why a roll-out is rolled back, for logs.
    std::string cause;
  };

  // What is in force at the time of a decision.
  struct State {
    Milliseconds elapsed{0};
    int share = 0;
    // Time since the share was put in force.
    Milliseconds share_age{0};
    // Whether the new release has a target that may get calls.
    bool has_new_target = false;
  };

  struct Totals {
    uint64_t responses = 0;
    uint64_t failures = 0;
  };

  explicit RolloutJudge(const Limits& limits) : limits_(limits) {}

  // Takes the cumulative evidence of a target, at the time `elapsed`.
  void Add(const NodeId& target,
           bool is_new,
           const ReleaseEvidence& evidence,
           Milliseconds elapsed);
  // Notes that a target has no new evidence at the time `elapsed`.
  void OnUnchanged(Milliseconds elapsed);

  // Must be called after the evidence that arrived, several times a second.
  Verdict Decide(const State& state);

  // The responses since the first evidence.
  Totals totals(bool is_new) const;

 private:
  // Sums over the targets of one release.
  struct Side {
    std::map<std::string, RouteEvidence> routes;
  };
  struct Target {
    bool is_new = false;
    // The last cumulative evidence, and the sum of its increases.
    ReleaseEvidence last;
    std::map<std::string, RouteEvidence> sum;
  };
  // Observations of one kind.
  struct Count {
    uint64_t bad = 0;
    uint64_t all = 0;

    void Add(const Count& other) {
      bad += other.bad;
      all += other.all;
    }
    double Rate() const {
      return all == 0 ? 0 : static_cast<double>(bad) / static_cast<double>(all);
    }
  };
  // The observations of the new and the old release on one subject.
  struct Comparison {
    std::string cause;
    Count now;
    Count before;
    bool is_slowness = false;

    // The bad responses of the new release beyond those that the old one would
    // have given.
    double Excess() const;
    // Whether the new release is worse than the old one, with an error
    // probability below `level`.
    bool IsFault(double level, double min_slow_excess) const;
  };

  static void AddIncrease(const std::map<std::string, RouteEvidence>& before,
                          const std::map<std::string, RouteEvidence>& after,
                          std::map<std::string, RouteEvidence>* sum);
  std::vector<Comparison> Compare() const;
  // Returns the cause if the new release is worse than the old one, otherwise
  // an empty string.
  std::string FindFault(bool is_full, Milliseconds elapsed);
  // Sums over the new targets; limits the part of the worst one.
  template <typename Counter>
  Count CountNew(const Counter& counter) const;
  // Calls/s of the service, below 0 while unknown.
  double Rate() const;
  // The end of the small steps.
  Milliseconds FullShareStart() const;
  // The calls that the new release may get before FullShareStart().
  double SmallStepBudget(double rate) const;

  const Limits limits_;
  std::map<NodeId, Target> targets_;
  // By release: old, new.
  std::array<Side, 2> sides_;
  Milliseconds first_evidence_{-1};
  Milliseconds last_evidence_{-1};
  // Since when the excess of bad responses is high enough for a rollback.
  std::optional<Milliseconds> excess_since_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_ROLLOUT_ROLLOUT_JUDGE_H_
