#include "dragonflytack/rollout/release_evidence.h"

#include <algorithm>
#include <cmath>

namespace dragonflytack {

int ReleaseEvidence::BucketOf(std::chrono::nanoseconds run_time) {
  const double micros =
      std::chrono::duration<double, std::micro>(run_time).count();
  return static_cast<int>(
      std::floor(kBucketsPerDoubling * std::log2(std::max(micros, 1.0))));
}

}  // namespace dragonflytack
