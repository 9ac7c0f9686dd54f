#ifndef DRAGONFLYTACK_OBSERVE_METRICS_REGISTRY_H_
#define DRAGONFLYTACK_OBSERVE_METRICS_REGISTRY_H_

#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "dragonflytack/observe/counter.h"
#include "dragonflytack/observe/gauge.h"
#include "dragonflytack/observe/latency_histogram.h"

namespace dragonflytack {

// Owns all metrics of a process. The returned objects have the lifetime of the
// registry; the same name and labels always return the same object. Safe to use
// from every thread.
class MetricsRegistry final {
 public:
  using Labels = std::map<std::string, std::string>;

  MetricsRegistry();
  ~MetricsRegistry();
  MetricsRegistry(const MetricsRegistry&) = delete;
  MetricsRegistry& operator=(const MetricsRegistry&) = delete;

  // Names follow the conventions of Prometheus, with the unit and "_total"
  // where they apply.
  Counter* GetCounter(const std::string& name,
                      const std::string& help,
                      const Labels& labels = {});
  Gauge* GetGauge(const std::string& name,
                  const std::string& help,
                  const Labels& labels = {});
  LatencyHistogram* GetHistogram(const std::string& name,
                                 const std::string& help,
                                 const Labels& labels = {});

  // Returns all metrics in the Prometheus text format 0.0.4.
  std::string RenderText() const;

 private:
  template <typename Metric>
  struct Family;

  template <typename Metric>
  Metric* Get(std::map<std::string, Family<Metric>>* families,
              const std::string& name,
              const std::string& help,
              const Labels& labels);

  mutable std::mutex mutex_;
  std::map<std::string, Family<Counter>> counters_;
  std::map<std::string, Family<Gauge>> gauges_;
  std::map<std::string, Family<LatencyHistogram>> histograms_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_OBSERVE_METRICS_REGISTRY_H_
