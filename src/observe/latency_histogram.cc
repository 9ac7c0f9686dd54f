#include "dragonflytack/observe/latency_histogram.h"

#include <limits>
#include <mutex>

#include <boost/histogram.hpp>

namespace dragonflytack {

namespace {

// 4 buckets per factor of 2 over 7 decades, so that a quantile is at most 19%
// above the duration.
constexpr unsigned kBuckets = 93;
constexpr double kMinSeconds = 10e-6;
constexpr double kMaxSeconds = 100;

using LogAxis =
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log>;

}  // namespace

class LatencyHistogram::Impl final {
 public:
  mutable std::mutex mutex;
  decltype(boost::histogram::make_histogram(
      LogAxis(kBuckets, kMinSeconds, kMaxSeconds))) histogram =
      boost::histogram::make_histogram(
          LogAxis(kBuckets, kMinSeconds, kMaxSeconds));
  uint64_t count = 0;
  double sum_seconds = 0;
};

LatencyHistogram::LatencyHistogram() : impl_(std::make_unique<Impl>()) {}

LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::Record(std::chrono::nanoseconds duration) {
  const double seconds = std::chrono::duration<double>(duration).count();
  std::lock_guard<std::mutex> lock(impl_->mutex);
  impl_->histogram(seconds);
  ++impl_->count;
  impl_->sum_seconds += seconds;
}

uint64_t LatencyHistogram::count() const {
  std::lock_guard<std::mutex> lock(impl_->mutex);
  return impl_->count;
}

double LatencyHistogram::sum_seconds() const {
  std::lock_guard<std::mutex> lock(impl_->mutex);
  return impl_->sum_seconds;
}

std::vector<std::pair<double, uint64_t>> LatencyHistogram::CumulativeBuckets()
    const {
  std::lock_guard<std::mutex> lock(impl_->mutex);
  const auto& axis = impl_->histogram.axis();
  std::vector<std::pair<double, uint64_t>> buckets;
  uint64_t below = 0;
  // Index -1 is the underflow bucket, the index past the last one the overflow
  // bucket.
  for (int index = -1; index <= axis.size(); ++index) {
    below += static_cast<uint64_t>(impl_->histogram.at(index));
    const double bound = index == axis.size()
                             ? std::numeric_limits<double>::infinity()
                             : axis.value(index + 1);
    buckets.emplace_back(bound, below);
  }
  return buckets;
}

double LatencyHistogram::Quantile(double quantile) const {
  const auto buckets = CumulativeBuckets();
  const double rank = quantile * static_cast<double>(buckets.back().second);
  for (const auto& [bound, below] : buckets) {
    if (static_cast<double>(below) >= rank) {
      return bound;
    }
  }
  return buckets.back().first;
}

}  // namespace dragonflytack
