#ifndef TOOLS_SUPPORT_LOAD_PLAN_H_
#define TOOLS_SUPPORT_LOAD_PLAN_H_

#include <map>
#include <string>
#include <vector>

#include "dragonflytack/base/host_port.h"

namespace dragonflytack {

// Describes a load run. Calls go to the entries in round-robin order, at even
// intervals that do not depend on the responses.
struct LoadPlan final {
  std::vector<HostPort> entries;
  std::string path = "/";
  std::map<std::string, std::string> headers;
  double calls_per_second = 100;
  double seconds = 5;
  // Calls that are sent during this first part of the run are not counted.
  double warm_up_seconds = 0;
  // A call without a response after this time counts as hung.
  int hang_timeout_ms = 5000;
  // Requests a new one-time key from the entry node for each call and sends it
  // in the header `idempotency-key`. If false, calls have no key.
  bool fetch_one_time_keys = false;
  // Sends a call whose response is not 200 once more, to the next entry, as a
  // caller with a list of several nodes would. One-time calls send the same key
  // again.
  bool resend_to_next_entry = false;
  // Calls that are sent on one connection before the first of them is answered;
  // 1 for one at a time. With more, one-time keys and resending are not used.
  int pipelined = 1;
  // Prefix of the request ids, which distinguishes the runs.
  std::string run_id = "run";
};

}  // namespace dragonflytack

#endif  // TOOLS_SUPPORT_LOAD_PLAN_H_
