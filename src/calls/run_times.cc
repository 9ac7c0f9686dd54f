#include "calls/run_times.h"

#include <cmath>
#include <cstdint>

namespace dragonflytack {

namespace {

constexpr double kNewestSampleWeight = 0.1;

}  // namespace

void RunTimes::Record(std::string_view route,
                      std::chrono::nanoseconds run_time) {
  const auto sample = static_cast<double>(run_time.count());
  const bool has_room =
      averages_.size() < kMaxRoutes || averages_.contains(std::string(route));
  const auto [found, is_new] =
      averages_.try_emplace(has_room ? std::string(route) : std::string());
  Average& average = found->second;
  if (is_new) {
    average.mean_ns = sample;
    return;
  }
  const double error = sample - average.mean_ns;
  average.mean_ns += kNewestSampleWeight * error;
  average.deviation_ns +=
      kNewestSampleWeight * (std::abs(error) - average.deviation_ns);
}

std::chrono::nanoseconds RunTimes::Mean(std::string_view route) const {
  return std::chrono::nanoseconds(static_cast<int64_t>(Find(route).mean_ns));
}

std::chrono::nanoseconds RunTimes::Likely(std::string_view route) const {
  const Average& average = Find(route);
  return std::chrono::nanoseconds(static_cast<int64_t>(
      average.mean_ns + kDeviations * average.deviation_ns));
}

const RunTimes::Average& RunTimes::Find(std::string_view route) const {
  static constexpr Average kNone;
  auto found = averages_.find(std::string(route));
  if (found == averages_.end() && averages_.size() >= kMaxRoutes) {
    found = averages_.find(std::string());
  }
  return found == averages_.end() ? kNone : found->second;
}

}  // namespace dragonflytack
