#ifndef DRAGONFLYTACK_SRC_CALLS_ENTRY_PIPELINE_H_
#define DRAGONFLYTACK_SRC_CALLS_ENTRY_PIPELINE_H_

#include <deque>

#include "calls/call_entry.h"
#include "calls/pipelined_input.h"

namespace dragonflytack {

// A connection whose caller may send requests before earlier ones are answered.
// Exists from the delivery of a request that lets others overtake it until its
// response, or while there are early calls.
class CallEntry::Pipeline final {
 public:
  Pipeline(CallEntry* entry, Call* first);
  Pipeline(const Pipeline&) = delete;
  Pipeline& operator=(const Pipeline&) = delete;

  PipelinedInput input;
  // The call whose request evhttp has delivered and whose response is pending;
  // null if there is none.
  Call* current;
  // Calls that were started before evhttp has delivered their requests, in the
  // order of the requests.
  std::deque<Call*> early;
  // Whether the head of the first request was checked, and others may overtake
  // it. It is checked only if bytes follow it.
  bool is_checked = false;
  // Whether the connection is closed after the calls that were started.
  bool is_closing = false;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_CALLS_ENTRY_PIPELINE_H_
