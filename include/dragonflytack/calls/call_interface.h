#ifndef DRAGONFLYTACK_CALLS_CALL_INTERFACE_H_
#define DRAGONFLYTACK_CALLS_CALL_INTERFACE_H_

#include <memory>

namespace dragonflytack {

class CallAddressing;
class CallHeaderCodec;

// The interface that the call port offers to callers, chosen when the process
// starts. It does not depend on the table or on the contents of a request.
struct CallInterface final {
  // Reads and writes the headers of callers and targets.
  std::shared_ptr<const CallHeaderCodec> headers;
  // Determines the service of a call.
  std::shared_ptr<const CallAddressing> addressing;
  // Whether callers may request keys for one-time calls at the call port, and
  // send them in the header of keys. Otherwise that path and that header belong
  // to the callers and targets.
  bool has_one_time_keys = false;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_CALLS_CALL_INTERFACE_H_
