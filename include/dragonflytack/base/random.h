#ifndef DRAGONFLYTACK_BASE_RANDOM_H_
#define DRAGONFLYTACK_BASE_RANDOM_H_

#include <cstdint>
#include <random>

namespace dragonflytack {

// A seeded generator for choices and jitter. Not for keys or ids, which must
// come from RandomHex().
class Random final {
 public:
  explicit Random(uint64_t seed) : engine_(seed) {}

  // Returns a number from 0 to `bound` - 1. `bound` must be above 0.
  uint64_t Below(uint64_t bound) {
    return std::uniform_int_distribution<uint64_t>(0, bound - 1)(engine_);
  }

  // Returns a number from 0 up to, but not including, 1.
  double Unit() {
    return std::uniform_real_distribution<double>(0, 1)(engine_);
  }

 private:
  std::mt19937_64 engine_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_BASE_RANDOM_H_
