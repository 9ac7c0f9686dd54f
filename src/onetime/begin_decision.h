#ifndef DRAGONFLYTACK_ONETIME_BEGIN_DECISION_H_
#define DRAGONFLYTACK_ONETIME_BEGIN_DECISION_H_

#include <cstdint>
#include <memory>

#include "dragonflytack/registry/node_id.h"
#include "onetime/begin_reason.h"
#include "onetime/not_run_scope.h"

namespace dragonflytack {

struct RecordedResponse;

// What the owner of a key does with a call that presents it.
struct BeginDecision final {
  enum class Kind {
    // Dispatch the call to a target as `attempt`.
    kDispatch,
    // An earlier call with the key is in flight: respond when it finishes.
    kWait,
    // Respond with `response`, or with "done" alone if it is null.
    kDone,
    kUnknown,
    kNotRun,
    // The records were handed over: forward the call to `forward_to`.
    kForward,
  };

  Kind kind = Kind::kUnknown;
  BeginReason reason = BeginReason::kNone;
  uint32_t attempt = 0;
  std::shared_ptr<const RecordedResponse> response;
  NotRunScope scope = NotRunScope::kRequest;
  NodeId forward_to;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_ONETIME_BEGIN_DECISION_H_
