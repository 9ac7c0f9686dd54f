#include "rollout/rollout_session.h"

#include <algorithm>
#include <utility>

#include "dragonflytack/base/logger.h"
#include "rollout/rollout_metrics.h"

namespace dragonflytack {

namespace {

// Epoch of a share of 0 that any step replaces. It is published if the steps of
// a running roll-out are unknown.
constexpr uint64_t kLowestEpoch = 1;

}  // namespace

RolloutSession::RolloutSession(const Settings& settings,
                               const Dependencies& dependencies,
                               RolloutOrder order)
    : settings_(settings),
      dependencies_(dependencies),
      order_(std::move(order)),
      judge_({settings.rollout_exposure, settings.rollout_exposure_slack,
              order_.duration, Milliseconds(settings.rollout_rollback_ms)}) {
  const TimePoint now = dependencies_.clock->Now();
  other_seen_ = now;
  state_.started_ms = dependencies_.clock->WallMillis();
  running_reported_ = order_.progress != RolloutProgress::kNone;
  const RolloutShare known = dependencies_.share_of(order_.service);
  if (order_.progress != RolloutProgress::kCompleted) {
    // The version of an order that has shown its progress may be above that of
    // the last step, which has to stay in force.
    const bool is_fresh = order_.progress == RolloutProgress::kNone;
    if (is_fresh || known.release != order_.release) {
      dependencies_.publish({order_.service, order_.release, 0,
                             is_fresh ? order_.version : kLowestEpoch});
    }
  }
  share_ = dependencies_.share_of(order_.service);
  share_since_ = now;
  dependencies_.logger->Info(
      "rollout_order",
      {{"service", order_.service},
       {"release", order_.release},
       {"duration_ms", int64_t{order_.duration.count()}},
       {"progress", std::string(RolloutProgressName(order_.progress))}});
}

Milliseconds RolloutSession::Elapsed() const {
  return Milliseconds(std::max<int64_t>(
      0, dependencies_.clock->WallMillis() - state_.started_ms));
}

bool RolloutSession::is_at_full_share() const {
  return share_.release == order_.release &&
         share_.share >= RolloutShare::kFull;
}

Milliseconds RolloutSession::ShareAge() const {
  return std::chrono::floor<Milliseconds>(dependencies_.clock->Now() -
                                          share_since_);
}

void RolloutSession::UpdateShare(TimePoint now) {
  RolloutShare in_force = dependencies_.share_of(order_.service);
  if (in_force != share_) {
    share_ = std::move(in_force);
    share_since_ = now;
    last_evidence_requested_ = false;
    has_last_evidence_ = false;
  }
}

bool RolloutSession::NeedsLastEvidence() const {
  return deciding_ && phase_ == Phase::kRunning && is_at_full_share() &&
         !last_evidence_requested_ &&
         ShareAge() >= RolloutJudge::kFullShareTime;
}

uint64_t RolloutSession::EvidenceRevision(const NodeId& target) const {
  const auto found = revisions_.find(target);
  return found == revisions_.end() ? 0 : found->second;
}

void RolloutSession::OnUnchangedEvidence() {
  judge_.OnUnchanged(Elapsed());
  last_evidence_ = dependencies_.clock->Now();
}

void RolloutSession::AddEvidence(const NodeId& target,
                                 const ReleaseEvidence& evidence,
                                 uint64_t revision) {
  if (evidence.service != order_.service) {
    return;
  }
  judge_.Add(target, evidence.release == order_.release, evidence, Elapsed());
  last_evidence_ = dependencies_.clock->Now();
  revisions_[target] = revision;
}

void RolloutSession::Tick(bool is_first, bool has_new_target) {
  const TimePoint now = dependencies_.clock->Now();
  UpdateShare(now);
  if (!deciding_) {
    // The first controller decides unless the other one has written since.
    const bool was_replaced = version_ != 0;
    if ((is_first && !was_replaced) || now - other_seen_ > kTakeoverTime) {
      deciding_ = true;
      phase_ = Phase::kLoad;
    }
  }
  if (!deciding_ || busy_ || now < retry_at_) {
    if (deciding_ && phase_ == Phase::kRunning) {
      // A rollback takes effect without the store.
      const RolloutJudge::Verdict verdict =
          judge_.Decide({Elapsed(), share_.share, ShareAge(), has_new_target});
      if (verdict.decision == RolloutJudge::Decision::kRollBack) {
        BeginRollBack(verdict.cause);
      }
    }
    return;
  }
  switch (phase_) {
    case Phase::kLoad:
      Load();
      break;
    case Phase::kRunning:
      Decide(has_new_target);
      break;
    case Phase::kRollBack: {
      RolloutState next = state_;
      next.share = 0;
      next.progress = RolloutProgress::kRolledBack;
      Write(next, Phase::kReport);
      break;
    }
    case Phase::kReport:
      ReportEnd();
      break;
    case Phase::kHold:
      if (now - share_since_ > kLiftDelay) {
        RolloutState next = state_;
        next.share = 0;
        next.lifted = true;
        Write(next, Phase::kDone);
      }
      break;
    case Phase::kDone:
      break;
  }
}

void RolloutSession::Load() {
  busy_ = true;
  dependencies_.store->Get(
      RolloutState::KeyOf(order_.service),
      [this, alive = std::weak_ptr<bool>(alive_)](
          const std::optional<StoreObject>& object, const Failure& reason) {
        if (alive.expired()) {
          return;
        }
        busy_ = false;
        if (object) {
          OnLoaded(*object);
        } else {
          OnWriteFailed(reason);
        }
      });
}

void RolloutSession::OnLoaded(const StoreObject& object) {
  version_ = object.version;
  const std::optional<RolloutState> stored =
      RolloutState::FromJson(object.value);
  const bool is_of_order = stored && stored->release == order_.release &&
                           !stored->lifted &&
                           (stored->progress == RolloutProgress::kRunning ||
                            order_.progress != RolloutProgress::kNone);
  if (!is_of_order) {
    if (order_.progress == RolloutProgress::kCompleted) {
      phase_ = Phase::kDone;
      return;
    }
    state_ = {order_.release, 0, RolloutProgress::kRunning, false,
              state_.started_ms};
    // The share that was published with the order stays until this is written.
    Write(state_, rollback_pending_ ? Phase::kRollBack : Phase::kRunning);
    return;
  }
  state_ = *stored;
  // A rollback that its controller could not write has the epoch of the step.
  const bool is_reverted =
      rollback_pending_ ||
      (share_.release == state_.release && share_.epoch == version_ &&
       share_.share < state_.share);
  if (state_.progress != RolloutProgress::kRunning) {
    phase_ = order_.progress == state_.progress ? Phase::kHold : Phase::kReport;
    if (order_.progress == RolloutProgress::kRolledBack) {
      phase_ = Phase::kDone;
    }
  } else {
    phase_ = is_reverted ? Phase::kRollBack : Phase::kRunning;
  }
  if (!is_reverted) {
    Publish();
  }
}

void RolloutSession::Publish() {
  dependencies_.publish({order_.service, state_.lifted ? "" : state_.release,
                         state_.share, version_});
}

void RolloutSession::Decide(bool has_new_target) {
  if (!running_reported_) {
    Report(RolloutProgress::kRunning, Phase::kRunning);
  }
  const TimePoint now = dependencies_.clock->Now();
  const RolloutJudge::Verdict verdict =
      judge_.Decide({Elapsed(), share_.share, ShareAge(), has_new_target});
  const bool has_evidence = now - last_evidence_ <= kMaxEvidenceAge;
  RolloutState next = state_;
  switch (verdict.decision) {
    case RolloutJudge::Decision::kKeep:
      return;
    case RolloutJudge::Decision::kRollBack:
      BeginRollBack(verdict.cause);
      return;
    case RolloutJudge::Decision::kStep:
      next.share = verdict.share;
      if (has_evidence && !busy_) {
        Write(next, Phase::kRunning);
      }
      return;
    case RolloutJudge::Decision::kComplete:
      if (!has_last_evidence_ &&
          ShareAge() < RolloutJudge::kFullShareTime + kLastEvidenceTime) {
        return;
      }
      next.progress = RolloutProgress::kCompleted;
      if (has_evidence && !busy_) {
        Write(next, Phase::kReport);
      }
      return;
  }
}

void RolloutSession::BeginRollBack(const std::string& cause) {
  const RolloutJudge::Totals totals = judge_.totals(true);
  dependencies_.logger->Warning("rollout_rollback",
                                {{"service", order_.service},
                                 {"release", order_.release},
                                 {"share", int64_t{share_.share}},
                                 {"responses", totals.responses},
                                 {"failures", totals.failures},
                                 {"cause", cause}});
  cause_ = cause;
  rollback_pending_ = true;
  phase_ = Phase::kRollBack;
  dependencies_.publish({order_.service, order_.release, 0,
                         std::max(share_.epoch, uint64_t{version_})});
}

void RolloutSession::Write(const RolloutState& state, Phase next) {
  busy_ = true;
  dependencies_.store->Put(
      RolloutState::KeyOf(order_.service), state.ToJson(), version_,
      [this, state, next, alive = std::weak_ptr<bool>(alive_)](
          std::optional<StoreVersion> version, const Failure& reason) {
        if (alive.expired()) {
          return;
        }
        busy_ = false;
        if (version) {
          OnWritten(state, next, *version);
        } else {
          OnWriteFailed(reason);
        }
      });
}

void RolloutSession::OnWritten(const RolloutState& state,
                               Phase next,
                               StoreVersion version) {
  const bool is_overtaken =
      rollback_pending_ && state.progress != RolloutProgress::kRolledBack;
  state_ = state;
  version_ = version;
  dependencies_.logger->Info(
      "rollout_step",
      {{"service", order_.service},
       {"release", state.release},
       {"share", int64_t{state.share}},
       {"epoch", uint64_t{version}},
       {"progress", std::string(RolloutProgressName(state.progress))},
       {"elapsed_ms", int64_t{Elapsed().count()}}});
  if (dependencies_.metrics != nullptr) {
    dependencies_.metrics->OnStateWritten(state);
  }
  if (is_overtaken) {
    // The rollback began during the write and is written next.
    phase_ = Phase::kRollBack;
    dependencies_.publish({order_.service, order_.release, 0, version_});
    return;
  }
  phase_ = next;
  Publish();
  UpdateShare(dependencies_.clock->Now());
  if (next == Phase::kReport) {
    // `completed` must not wait for the next tick, close to the deadline.
    ReportEnd();
  }
}

void RolloutSession::OnWriteFailed(const Failure& reason) {
  retry_at_ = dependencies_.clock->Now() + kRetryDelay;
  if (reason.code == FailureCode::kConflict) {
    // The other controller has taken over.
    deciding_ = false;
    other_seen_ = dependencies_.clock->Now();
    version_ = std::max<StoreVersion>(version_, 1);
  }
  // A write without a response may have taken effect.
  phase_ = Phase::kLoad;
}

void RolloutSession::ReportEnd() {
  Report(state_.progress, state_.progress == RolloutProgress::kCompleted
                              ? Phase::kHold
                              : Phase::kDone);
}

void RolloutSession::Report(RolloutProgress progress, Phase next) {
  busy_ = true;
  dependencies_.orders->WriteProgress(
      order_, progress,
      [this, progress, next,
       alive = std::weak_ptr<bool>(alive_)](const Failure& reason) {
        if (alive.expired()) {
          return;
        }
        busy_ = false;
        if (reason.code != FailureCode::kNone) {
          retry_at_ = dependencies_.clock->Now() + kRetryDelay;
          return;
        }
        if (progress == RolloutProgress::kRunning) {
          running_reported_ = true;
          return;
        }
        phase_ = next;
        dependencies_.logger->Info(
            "rollout_ended",
            {{"service", order_.service},
             {"release", order_.release},
             {"outcome", std::string(RolloutProgressName(progress))},
             {"elapsed_ms", int64_t{Elapsed().count()}}});
      });
}

nlohmann::json RolloutSession::Status() const {
  const RolloutJudge::Totals old_release = judge_.totals(false);
  const RolloutJudge::Totals new_release = judge_.totals(true);
  return {{"service", order_.service},
          {"release", order_.release},
          {"deciding", deciding_},
          {"progress", RolloutProgressName(state_.progress)},
          {"cause", cause_},
          {"elapsed_ms", Elapsed().count()},
          {"responses", {old_release.responses, new_release.responses}},
          {"failures", {old_release.failures, new_release.failures}}};
}

}  // namespace dragonflytack
