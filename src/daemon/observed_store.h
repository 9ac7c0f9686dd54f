#ifndef DRAGONFLYTACK_DAEMON_OBSERVED_STORE_H_
#define DRAGONFLYTACK_DAEMON_OBSERVED_STORE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>

#include "dragonflytack/statechart/chart_machine.h"
#include "dragonflytack/store/store_client.h"

namespace dragonflytack {

class Counter;
class Logger;
class MetricsRegistry;

// Decorates a store client: counts its calls to the store and tracks whether
// the store is reachable, with the chart charts/store_session.scxml.
class ObservedStore final : public StoreClient {
 public:
  // `logger`, `clock` and `metrics` must outlive the object.
  ObservedStore(std::unique_ptr<StoreClient> store,
                const Clock* clock,
                Logger* logger,
                MetricsRegistry* metrics);

  void Get(const std::string& key, ObjectCallback callback) override;
  void Put(const std::string& key,
           const std::string& value,
           StoreVersion if_version,
           VersionCallback callback) override;
  void Delete(const std::string& key,
              StoreVersion if_version,
              VersionCallback callback) override;
  void Watch(const std::string& key,
             StoreVersion after,
             Milliseconds timeout,
             VersionCallback callback) override;
  std::optional<StoreObject> TakePrefetched(const std::string& key) override {
    return store_->TakePrefetched(key);
  }
  void List(const std::string& prefix,
            const std::string& start_after,
            int limit,
            ListCallback callback) override;
  std::optional<uint64_t> era() const override { return store_->era(); }
  bool CanWriteTable() const override { return store_->CanWriteTable(); }

  // "unused", "in_contact" or "out_of_contact".
  const std::string& contact() const { return machine_.state(); }
  // Wall time in milliseconds of the last response, 0 before the first one.
  int64_t last_response_ms() const { return last_response_ms_; }
  // The failure of the last call without a response; kNone if every call got
  // one.
  const Failure& last_failure() const { return last_failure_; }

  // Checks the chart against the table of actions, for tests.
  static bool CheckChart(Failure* reason);

 private:
  static std::span<const ChartAction<ObservedStore>> Actions();

  // Counts a call and wraps its callback so that the outcome is recorded
  // before the callback runs.
  template <typename Result>
  std::function<void(Result, const Failure&)> Observe(
      const char* operation,
      std::function<void(Result, const Failure&)> callback);
  void RecordOutcome(const Failure& reason);

  // Actions of the chart.
  void RecordContact();
  void RecordLoss();

  const Clock* const clock_;
  Logger* const logger_;
  MetricsRegistry* const metrics_;
  ChartMachine<ObservedStore> machine_;
  int64_t last_response_ms_ = 0;
  Failure last_failure_;
  // Declared last, so that it is destroyed before the members that its
  // callbacks use.
  const std::unique_ptr<StoreClient> store_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_DAEMON_OBSERVED_STORE_H_
