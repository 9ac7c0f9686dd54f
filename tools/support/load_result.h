#ifndef TOOLS_SUPPORT_LOAD_RESULT_H_
#define TOOLS_SUPPORT_LOAD_RESULT_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace dragonflytack {

// Outcomes of the calls of a load run.
struct LoadResult final {
  uint64_t sent = 0;
  // Status 200 with the complete response to the request id of the call.
  uint64_t done = 0;
  // Status 200 with the response to another request, or a truncated one.
  uint64_t wrong_response = 0;
  // Neither a response nor a closed connection within
  // LoadPlan::hang_timeout_ms.
  uint64_t hung = 0;
  // The connection failed or was closed without a response.
  uint64_t no_response = 0;
  // Calls that were sent again to another entry.
  uint64_t resent_calls = 0;
  // Responses other than 200, by "status reason".
  std::map<std::string, uint64_t> refused;
  // Request ids of the calls that were done, and of those that were refused as
  // not run.
  std::vector<std::string> done_ids;
  std::vector<std::string> not_run_ids;
  // Latency of each call that was done.
  std::vector<float> latency_ms;
  double counted_seconds = 0;

  // Returns the given quantile (0 to 1) of the latency of the calls that were
  // done; 0 if there are none.
  double LatencyMs(double quantile) const;

  double GoodputPerSecond() const;

  uint64_t RefusedCount() const;
};

}  // namespace dragonflytack

#endif  // TOOLS_SUPPORT_LOAD_RESULT_H_
