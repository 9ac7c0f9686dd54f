#ifndef DRAGONFLYTACK_ONETIME_RECORD_LIMITS_H_
#define DRAGONFLYTACK_ONETIME_RECORD_LIMITS_H_

#include <cstddef>

#include "dragonflytack/base/clock.h"

namespace dragonflytack {

// Bounds of the one-time records of a process.
struct RecordLimits final {
  // At 520,000 calls/s over 5,300 nodes an owner gets 98 calls/s, which is
  // 59,000 records in 10 minutes.
  size_t max_records = 65'536;
  // Bound of all recorded responses together: 59,000 responses with a body of
  // 64 bytes and one header take 13 MB as counted by RecordedResponse::Bytes().
  size_t max_response_bytes = 16U << 20;
  // A larger response is passed on but not recorded.
  size_t max_one_response_bytes = 64U << 10;
  // How long a response is kept after the action has finished.
  Milliseconds retention = std::chrono::minutes(10);

  // Above max_records a refusal is still recorded up to this count, so that
  // late copies are refused as well. Beyond it the outcome is "unknown".
  size_t MaxWithRefusals() const { return max_records + max_records / 8 + 1; }
  // Records of other owners are accepted up to this total count.
  size_t MaxWithTakeovers() const { return 2 * max_records; }
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_ONETIME_RECORD_LIMITS_H_
