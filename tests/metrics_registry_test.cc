#include "dragonflytack/observe/metrics_registry.h"

#include <chrono>
#include <string>

#include <criterion/criterion.h>

namespace dragonflytack {

Test(metrics_registry, renders_families_with_labels_and_cumulative_buckets) {
  MetricsRegistry metrics;
  metrics.GetCounter("calls_total", "Calls.", {{"service", "ro\"ster"}})
      ->Add(3);
  metrics.GetGauge("links", "Links.")->Set(-2);
  LatencyHistogram* latency = metrics.GetHistogram("call_seconds", "Time.");
  latency->Record(std::chrono::milliseconds(1));
  latency->Record(std::chrono::hours(1));
  const std::string text = metrics.RenderText();
  cr_assert(text.find("calls_total{service=\"ro\\\"ster\"} 3\n") !=
            std::string::npos);
  cr_assert(text.find("links -2\n") != std::string::npos);
  cr_assert(text.find("call_seconds_bucket{le=\"+Inf\"} 2\n") !=
            std::string::npos);
  cr_assert(text.find("call_seconds_count 2\n") != std::string::npos);
}

// Guards against quantiles that deviate by more than the ratio of a bucket.
Test(latency_histogram, quantile_is_within_one_bucket) {
  LatencyHistogram latency;
  for (int i = 1; i <= 1000; ++i) {
    latency.Record(std::chrono::microseconds(i * 10));
  }
  const double median = latency.Quantile(0.5);
  cr_assert(median >= 0.005 && median <= 0.005 * 1.2, "%f", median);
}

}  // namespace dragonflytack
