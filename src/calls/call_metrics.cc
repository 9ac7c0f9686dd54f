#include "calls/call_metrics.h"

#include "dragonflytack/observe/metrics_registry.h"

namespace dragonflytack {

namespace {

Gauge* GetCallsInProgress(MetricsRegistry* registry, const char* side) {
  return registry->GetGauge("dragonflytack_calls_in_progress",
                            "Calls that have no response yet",
                            {{"side", side}});
}

}  // namespace

CallMetrics::CallMetrics(MetricsRegistry* registry)
    : registry_(registry),
      buffered_bytes_(registry->GetGauge(
          "dragonflytack_buffered_bytes",
          "Requests and responses that have arrived and are not passed on")),
      entry_calls_(GetCallsInProgress(registry, "entry")),
      target_calls_(GetCallsInProgress(registry, "target")),
      queue_length_(
          registry->GetGauge("dragonflytack_queue_length",
                             "Calls that wait for a slot of the local target")),
      slots_in_use_(registry->GetGauge("dragonflytack_slots_in_use",
                                       "Calls that the local target runs")),
      one_time_records_(
          registry->GetGauge("dragonflytack_one_time_records",
                             "One-time records that this node keeps")),
      invalid_load_reports_(registry->GetCounter(
          "dragonflytack_invalid_load_reports_total",
          "Load reports of the local target that were ignored")) {}

CallMetrics::Service& CallMetrics::ForService(const std::string& service) {
  const auto [found, added] = services_.try_emplace(service);
  Service& metrics = found->second;
  if (added) {
    for (const CallOutcome outcome :
         {CallOutcome::kDone, CallOutcome::kNotRun, CallOutcome::kUnknown}) {
      metrics.by_outcome[static_cast<size_t>(outcome)] = registry_->GetCounter(
          "dragonflytack_calls_total", "Calls of this node's callers",
          {{"service", service},
           {"outcome", std::string(CallOutcomeName(outcome))}});
    }
    const MetricsRegistry::Labels labels = {{"service", service}};
    metrics.total_time = registry_->GetHistogram(
        "dragonflytack_call_seconds",
        "Time from the arrival of a call to its response", labels);
    metrics.added_time = registry_->GetHistogram(
        "dragonflytack_call_added_seconds",
        "Time of a completed call minus the time at the target", labels);
    metrics.retries =
        registry_->GetCounter("dragonflytack_retries_total",
                              "Attempts after the first one of a call", labels);
    metrics.ejections =
        registry_->GetCounter("dragonflytack_ejections_total",
                              "Endpoints ejected after failures", labels);
  }
  return metrics;
}

void CallMetrics::CountFailure(const char* side, CallReason reason) {
  registry_
      ->GetCounter(
          "dragonflytack_refused_total",
          "Calls refused or with an unknown outcome, by reason",
          {{"side", side}, {"reason", std::string(CallReasonName(reason))}})
      ->Add();
}

void CallMetrics::CountPipelined(PipelineEvent event) {
  constexpr std::array<const char*, 5> kNames = {
      "started", "answered", "abandoned", "mismatched", "no_room"};
  const auto index = static_cast<size_t>(event);
  Counter*& counter = pipelined_[index];
  if (counter == nullptr) {
    counter = registry_->GetCounter(
        "dragonflytack_pipelined_calls_total",
        "Calls that are processed before their turn, by event",
        {{"event", kNames[index]}});
  }
  counter->Add();
}

}  // namespace dragonflytack
