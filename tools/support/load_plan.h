#ifndef TOOLS_SUPPORT_LOAD_PLAN_H_
#define TOOLS_SUPPORT_LOAD_PLAN_H_

#include <map>
#include <string>
#include <vector>

#include "dragonflytack/base/host_port.h"

namespace dragonflytack {

// What a load run sends. Calls go to the entries in turn, at even intervals
// that do not depend on the answers.
struct LoadPlan final {
  std::vector<HostPort> entries;
  std::string path = "/";
  std::map<std::string, std::string> headers;
  double calls_per_second = 100;
  double seconds = 5;
  // Results of calls that were sent in the first part of the run are not
  // counted.
  double warm_up_seconds = 0;
  // A call without an answer by then counts as hung.
  int hang_ms = 5000;
  // Sends each call with a fresh key in `idempotency-key`, handed out by the
  // entry (true) or without one (false).
  bool fetch_keys = false;
  // Sends a call that was not answered with 200 once more to the next entry, as
  // a caller that knows several nodes would. One-time calls present their key
  // again.
  bool use_next_entry = false;
  // Distinguishes the request ids of runs.
  std::string run_id = "run";
};

}  // namespace dragonflytack

#endif  // TOOLS_SUPPORT_LOAD_PLAN_H_
