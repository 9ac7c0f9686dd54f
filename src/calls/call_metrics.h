#ifndef DRAGONFLYTACK_SRC_CALLS_CALL_METRICS_H_
#define DRAGONFLYTACK_SRC_CALLS_CALL_METRICS_H_

#include <array>
#include <string>
#include <unordered_map>

#include "calls/call_result.h"
#include "dragonflytack/observe/counter.h"
#include "dragonflytack/observe/gauge.h"
#include "dragonflytack/observe/latency_histogram.h"

namespace dragonflytack {

class MetricsRegistry;

// What happens to a call that is processed before its turn on its connection.
enum class PipelineEvent {
  kStarted,
  // evhttp has delivered its request.
  kAnswered,
  // Its connection has ended before.
  kAbandoned,
  // evhttp has delivered another request.
  kMismatched,
  // A waiting request was not started for lack of memory.
  kNoRoom,
};

// The metrics of calls, looked up once so that a call only updates them. Names
// of services that are not in the table are never used as labels, because
// callers choose them and could create any number of metrics.
class CallMetrics final {
 public:
  // Metrics of one service at the entry node.
  struct Service {
    std::array<Counter*, 3> by_outcome;
    LatencyHistogram* total_time;
    LatencyHistogram* added_time;
    Counter* retries;
    Counter* ejections;
  };

  // `registry` must outlive the object.
  explicit CallMetrics(MetricsRegistry* registry);

  Service& ForService(const std::string& service);

  // Counts a call that was refused, has an unknown outcome, or whose caller
  // disconnected, by its reason. `side` is "entry" or "target".
  void CountFailure(const char* side, CallReason reason);

  // Counts an event of a call that is processed before its turn on its
  // connection.
  void CountPipelined(PipelineEvent event);

  // Bytes of responses that are being received.
  Gauge* buffered_bytes() { return buffered_bytes_; }
  // Calls that arrived at the call port and have no response yet.
  Gauge* entry_calls() { return entry_calls_; }
  // Calls for the local target that have no response yet.
  Gauge* target_calls() { return target_calls_; }
  Gauge* queue_length() { return queue_length_; }
  Gauge* slots_in_use() { return slots_in_use_; }
  Gauge* one_time_records() { return one_time_records_; }
  // Load reports of the local target that were ignored.
  Counter* invalid_load_reports() { return invalid_load_reports_; }

 private:
  MetricsRegistry* const registry_;
  std::unordered_map<std::string, Service> services_;
  Gauge* const buffered_bytes_;
  Gauge* const entry_calls_;
  Gauge* const target_calls_;
  Gauge* const queue_length_;
  Gauge* const slots_in_use_;
  Gauge* const one_time_records_;
  Counter* const invalid_load_reports_;
  // Null until the first event of the kind.
  std::array<Counter*, static_cast<size_t>(PipelineEvent::kNoRoom) + 1>
      pipelined_{};
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_CALLS_CALL_METRICS_H_
