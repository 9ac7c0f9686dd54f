#ifndef DRAGONFLYTACK_ONETIME_RECORD_H_
#define DRAGONFLYTACK_ONETIME_RECORD_H_

#include <cstdint>
#include <memory>

#include "onetime/record_state.h"

namespace dragonflytack {

struct RecordedResponse;

// What the owner keeps for one key. Times are on the clock of the record's set.
struct Record final {
  RecordState state = RecordState::kDispatched;
  // Counts the dispatches of this key, so that a late result of an earlier
  // attempt is recognised.
  uint32_t attempt = 1;
  // Digest of service, method, path and body of the call that first used the
  // key.
  uint64_t request_digest = 0;
  int64_t expiry_ms = 0;
  // When the action finished; 0 while it is dispatched.
  int64_t finished_ms = 0;
  // In kDone null if the response was not kept, for its size or for lack of
  // room, or if its retention has passed.
  std::shared_ptr<const RecordedResponse> response;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_ONETIME_RECORD_H_
