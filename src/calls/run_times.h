#ifndef DRAGONFLYTACK_SRC_CALLS_RUN_TIMES_H_
#define DRAGONFLYTACK_SRC_CALLS_RUN_TIMES_H_

#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>

namespace dragonflytack {

// Averages how long the local target runs the calls of each route. The calls of
// one service may differ by an order of magnitude.
class RunTimes final {
 public:
  // Routes beyond this number share one average.
  static constexpr size_t kMaxRoutes = 1'024;
  static constexpr double kDeviations = 1.5;

  // Adds the run time of a call.
  void Record(std::string_view route, std::chrono::nanoseconds run_time);

  // Returns the mean run time of the calls of a route; zero before the first
  // one.
  std::chrono::nanoseconds Mean(std::string_view route) const;

  // Returns a time that most calls of the route do not exceed: the mean plus
  // kDeviations times the mean deviation. Half of the calls take longer than
  // the mean.
  std::chrono::nanoseconds Likely(std::string_view route) const;

 private:
  struct Average {
    double mean_ns = 0;
    double deviation_ns = 0;
  };

  const Average& Find(std::string_view route) const;

  std::unordered_map<std::string, Average> averages_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_CALLS_RUN_TIMES_H_
