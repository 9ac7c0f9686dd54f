#ifndef DRAGONFLYTACK_SRC_ROLLOUT_ROLLOUT_SESSION_H_
#define DRAGONFLYTACK_SRC_ROLLOUT_ROLLOUT_SESSION_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include <nlohmann/json.hpp>

#include "dragonflytack/base/clock.h"
#include "dragonflytack/base/settings.h"
#include "dragonflytack/registry/rollout_share.h"
#include "dragonflytack/store/rollout_orders.h"
#include "dragonflytack/store/store_client.h"
#include "rollout/rollout_judge.h"
#include "rollout/rollout_state.h"

namespace dragonflytack {

class Logger;
class RolloutMetrics;

// One roll-out on one of the controllers: gets decisions from the judge, writes
// the state object before each step and publishes the step. Only one of the
// controllers decides; the other one has the same evidence and takes over.
class RolloutSession final {
 public:
  // The deciding controller is replaced when it has been silent for this long.
  static constexpr Milliseconds kTakeoverTime{2'500};
  // Steps need evidence that is not older than this.
  static constexpr Milliseconds kMaxEvidenceAge{1'500};
  // Time between attempts to reach the store.
  static constexpr Milliseconds kRetryDelay{300};
  // After `completed` the old targets stop at once. Until they have, the share
  // stays in force.
  static constexpr Milliseconds kLiftDelay{10'000};
  // `completed` waits for the last evidence for this long.
  static constexpr Milliseconds kLastEvidenceTime{150};

  struct Dependencies {
    const Clock* clock;
    StoreClient* store;
    RolloutOrders* orders;
    Logger* logger;
    // Puts a share in force in the fleet, and returns the one in force.
    std::function<void(const RolloutShare&)> publish;
    std::function<RolloutShare(const std::string& service)> share_of;
    // Null if none are recorded.
    RolloutMetrics* metrics = nullptr;
  };

  // The dependencies must outlive the session.
  RolloutSession(const Settings& settings,
                 const Dependencies& dependencies,
                 RolloutOrder order);

  const RolloutOrder& order() const { return order_; }
  // Takes a later version of the same order.
  void UpdateOrder(const RolloutOrder& order) { order_ = order; }

  // Takes the evidence of a target, and its revision, by which the target knows
  // what has been received.
  void AddEvidence(const NodeId& target,
                   const ReleaseEvidence& evidence,
                   uint64_t revision = 0);
  // Notes that a target has no evidence after that revision.
  void OnUnchangedEvidence();
  // Returns the revision that was received from a target, 0 for none.
  uint64_t EvidenceRevision(const NodeId& target) const;

  // Whether the evidence has to be collected a last time, before `completed`.
  bool NeedsLastEvidence() const;
  void OnLastEvidenceRequested() { last_evidence_requested_ = true; }
  // Notes that all of it has arrived.
  void OnLastEvidence() { has_last_evidence_ = true; }
  // Handles a sign that the other controller decides on this roll-out.
  void OnOtherDecides() { other_seen_ = dependencies_.clock->Now(); }

  // Makes the decisions that are due. `is_first` is whether this node has the
  // highest rank; `has_new_target` whether a target of the release is ready.
  void Tick(bool is_first, bool has_new_target);

  bool is_deciding() const { return deciding_; }
  bool is_done() const { return phase_ == Phase::kDone; }
  // Whether the evidence is needed more often, before `completed`.
  bool is_at_full_share() const;
  nlohmann::json Status() const;

 private:
  enum class Phase {
    // The state object has to be read.
    kLoad,
    kRunning,
    // The share of a rollback is in force but not written.
    kRollBack,
    // The end is written in the state object but not in the order.
    kReport,
    // The share stays in force after `completed`.
    kHold,
    kDone
  };

  void Load();
  void OnLoaded(const StoreObject& object);
  void Decide(bool has_new_target);
  void BeginRollBack(const std::string& cause);
  // Writes a state, and on success puts it in force and enters `next`.
  void Write(const RolloutState& state, Phase next);
  void OnWritten(const RolloutState& state, Phase next, StoreVersion version);
  void OnWriteFailed(const Failure& reason);
  // Writes the end of the roll-out to its order.
  void ReportEnd();
  void Report(RolloutProgress progress, Phase next);
  void Publish();
  // Takes over the share in force. `now` is the time of the change, if any.
  void UpdateShare(TimePoint now);
  Milliseconds Elapsed() const;
  Milliseconds ShareAge() const;

  const Settings settings_;
  const Dependencies dependencies_;
  RolloutOrder order_;
  RolloutJudge judge_;
  Phase phase_ = Phase::kLoad;
  bool deciding_ = false;
  // Whether a call to the store is in progress.
  bool busy_ = false;
  // Whether the order shows that the roll-out runs.
  bool running_reported_ = false;
  bool rollback_pending_ = false;
  RolloutState state_;
  StoreVersion version_ = 0;
  TimePoint other_seen_;
  TimePoint retry_at_;
  TimePoint last_evidence_;
  std::map<NodeId, uint64_t> revisions_;
  // Of the share in force.
  bool last_evidence_requested_ = false;
  bool has_last_evidence_ = false;
  // The share in force and since when.
  RolloutShare share_;
  TimePoint share_since_;
  // Why the release was rolled back, empty otherwise.
  std::string cause_;
  const std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_ROLLOUT_ROLLOUT_SESSION_H_
