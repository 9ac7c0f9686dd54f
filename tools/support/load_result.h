#ifndef TOOLS_SUPPORT_LOAD_RESULT_H_
#define TOOLS_SUPPORT_LOAD_RESULT_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace dragonflytack {

// What became of the calls of a load run.
struct LoadResult final {
  uint64_t sent = 0;
  // Status 200 with the whole answer to the call's own request id.
  uint64_t done = 0;
  // Status 200 with an answer to something else, or cut short.
  uint64_t wrong_answer = 0;
  // Neither an answer nor a closed connection within LoadPlan::hang_ms.
  uint64_t hung = 0;
  // The connection failed or closed without an answer.
  uint64_t no_answer = 0;
  // Calls that went to a second entry.
  uint64_t second_entries = 0;
  // Answers other than 200, by "status reason".
  std::map<std::string, uint64_t> refused;
  // Request ids of calls that were answered as done, and as not run.
  std::vector<std::string> done_ids;
  std::vector<std::string> not_run_ids;
  // Milliseconds of each call that was done.
  std::vector<float> latency_ms;
  double counted_seconds = 0;

  // Returns the latency below which the share `quantile` (0 to 1) of the done
  // calls lie; 0 without any.
  double LatencyMs(double quantile) const;

  double GoodputPerSecond() const;

  uint64_t RefusedCount() const;
};

}  // namespace dragonflytack

#endif  // TOOLS_SUPPORT_LOAD_RESULT_H_
