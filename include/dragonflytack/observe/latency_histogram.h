#ifndef DRAGONFLYTACK_OBSERVE_LATENCY_HISTOGRAM_H_
#define DRAGONFLYTACK_OBSERVE_LATENCY_HISTOGRAM_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <utility>
#include <vector>

namespace dragonflytack {

// A histogram of durations from 10 microseconds to 100 seconds with logarithmic
// buckets. Safe to use from every thread.
class LatencyHistogram final {
 public:
  LatencyHistogram();
  ~LatencyHistogram();
  LatencyHistogram(const LatencyHistogram&) = delete;
  LatencyHistogram& operator=(const LatencyHistogram&) = delete;

  void Record(std::chrono::nanoseconds duration);

  uint64_t count() const;
  double sum_seconds() const;

  // Returns pairs of an upper bound in seconds and the number of durations
  // below it. The last bound is infinite.
  std::vector<std::pair<double, uint64_t>> CumulativeBuckets() const;

  // Returns the upper bound in seconds of the bucket that contains `quantile`,
  // a number from 0 to 1.
  double Quantile(double quantile) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_OBSERVE_LATENCY_HISTOGRAM_H_
