#include "daemon/observed_store.h"

#include <utility>

#include "dragonflytack/base/logger.h"
#include "dragonflytack/observe/metrics_registry.h"
#include "statechart/embedded_charts.h"

namespace dragonflytack {

namespace {

bool IsNoResponse(const Failure& reason) {
  return reason.code == FailureCode::kStoreUnreachable ||
         reason.code == FailureCode::kStoreTimeout;
}

}  // namespace

std::span<const ChartAction<ObservedStore>> ObservedStore::Actions() {
  static constexpr ChartAction<ObservedStore> actions[] = {
      {"RecordContact", &ObservedStore::RecordContact},
      {"RecordLoss", &ObservedStore::RecordLoss},
  };
  return actions;
}

bool ObservedStore::CheckChart(Failure* reason) {
  return ChartMachine<ObservedStore>::CheckBinding(
      *FindEmbeddedChart("store_session"), Actions(), reason);
}

ObservedStore::ObservedStore(std::unique_ptr<StoreClient> store,
                             const Clock* clock,
                             Logger* logger,
                             MetricsRegistry* metrics)
    : clock_(clock),
      logger_(logger),
      metrics_(metrics),
      machine_(FindEmbeddedChart("store_session"), this, Actions()),
      store_(std::move(store)) {}

template <typename Result>
std::function<void(Result, const Failure&)> ObservedStore::Observe(
    const char* operation,
    std::function<void(Result, const Failure&)> callback) {
  metrics_
      ->GetCounter("dragonflytack_store_calls_total",
                   "Calls of this node to the store.",
                   {{"operation", operation}})
      ->Add();
  Counter* const failures = metrics_->GetCounter(
      "dragonflytack_store_failures_total",
      "Calls of this node to the store that got no response.",
      {{"operation", operation}});
  return [this, failures, callback = std::move(callback)](
             Result result, const Failure& reason) {
    if (!result && IsNoResponse(reason)) {
      failures->Add();
    }
    RecordOutcome(result ? Failure{} : reason);
    callback(std::move(result), reason);
  };
}

void ObservedStore::Get(const std::string& key, ObjectCallback callback) {
  store_->Get(key, Observe("get", std::move(callback)));
}

void ObservedStore::Put(const std::string& key,
                        const std::string& value,
                        StoreVersion if_version,
                        VersionCallback callback) {
  store_->Put(key, value, if_version, Observe("put", std::move(callback)));
}

void ObservedStore::Delete(const std::string& key,
                           StoreVersion if_version,
                           VersionCallback callback) {
  store_->Delete(key, if_version, Observe("delete", std::move(callback)));
}

void ObservedStore::Watch(const std::string& key,
                          StoreVersion after,
                          Milliseconds timeout,
                          VersionCallback callback) {
  store_->Watch(key, after, timeout, Observe("watch", std::move(callback)));
}

void ObservedStore::List(const std::string& prefix,
                         const std::string& start_after,
                         int limit,
                         ListCallback callback) {
  store_->List(prefix, start_after, limit,
               Observe("list", std::move(callback)));
}

void ObservedStore::RecordOutcome(const Failure& reason) {
  // A refusal is a response, too: it shows that the store is reachable.
  const bool responded = !IsNoResponse(reason);
  if (responded) {
    last_response_ms_ = clock_->WallMillis();
  } else {
    last_failure_ = reason;
  }
  machine_.Handle(responded ? "answered" : "failed");
}

void ObservedStore::RecordContact() {
  logger_->Info("store_contact", {{"contact", true}});
}

void ObservedStore::RecordLoss() {
  logger_->Warning("store_contact",
                   {{"contact", false}, {"reason", last_failure_.ToString()}});
}

}  // namespace dragonflytack
