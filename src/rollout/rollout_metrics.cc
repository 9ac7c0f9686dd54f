#include "rollout/rollout_metrics.h"

#include <array>
#include <cstdint>
#include <string>

#include "dragonflytack/observe/metrics_registry.h"

namespace dragonflytack {

namespace {

// By RolloutMetrics::Evidence.
constexpr std::array<const char*, 4> kEvidenceNames = {
    "changed", "unchanged", "no_response", "not_sent"};

std::string ChangeOf(const RolloutState& state) {
  if (state.lifted) {
    return "lifted";
  }
  if (state.progress != RolloutProgress::kRunning) {
    return std::string(RolloutProgressName(state.progress));
  }
  return state.share == 0 ? "started" : "step";
}

}  // namespace

RolloutMetrics::RolloutMetrics(MetricsRegistry* metrics)
    : metrics_(metrics),
      controller_(
          metrics->GetGauge("dragonflytack_rollout_controller",
                            "1 when this node is a roll-out controller.")) {}

void RolloutMetrics::SetController(bool is_controller) {
  controller_->Set(is_controller ? 1 : 0);
}

void RolloutMetrics::SetShares(const std::vector<RolloutShare>& shares) {
  for (const RolloutShare& share : shares) {
    const MetricsRegistry::Labels labels = {{"service", share.service}};
    metrics_
        ->GetGauge("dragonflytack_rollout_share",
                   "Calls to the new release, in thousandths.", labels)
        ->Set(share.share);
    metrics_
        ->GetGauge("dragonflytack_rollout_epoch",
                   "Version of the write that put the share in force.", labels)
        ->Set(static_cast<int64_t>(share.epoch));
  }
}

void RolloutMetrics::OnStateWritten(const RolloutState& state) {
  metrics_
      ->GetCounter("dragonflytack_rollout_changes_total",
                   "States of roll-outs that this node wrote to the store.",
                   {{"change", ChangeOf(state)}})
      ->Add(1);
}

void RolloutMetrics::OnEvidence(Evidence outcome) {
  metrics_
      ->GetCounter("dragonflytack_rollout_evidence_requests_total",
                   "Requests for the evidence of targets.",
                   {{"result", kEvidenceNames[static_cast<size_t>(outcome)]}})
      ->Add(1);
}

}  // namespace dragonflytack
