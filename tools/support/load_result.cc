#include "support/load_result.h"

#include <algorithm>

namespace dragonflytack {

double LoadResult::LatencyMs(double quantile) const {
  if (latency_ms.empty()) {
    return 0;
  }
  std::vector<float> sorted = latency_ms;
  const size_t index = std::min(
      sorted.size() - 1,
      static_cast<size_t>(quantile * static_cast<double>(sorted.size())));
  std::nth_element(sorted.begin(),
                   sorted.begin() + static_cast<std::ptrdiff_t>(index),
                   sorted.end());
  return sorted[index];
}

double LoadResult::GoodputPerSecond() const {
  return counted_seconds > 0 ? static_cast<double>(done) / counted_seconds : 0;
}

uint64_t LoadResult::RefusedCount() const {
  uint64_t count = 0;
  for (const auto& [reason, calls] : refused) {
    count += calls;
  }
  return count;
}

}  // namespace dragonflytack
