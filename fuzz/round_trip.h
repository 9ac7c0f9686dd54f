#ifndef DRAGONFLYTACK_FUZZ_ROUND_TRIP_H_
#define DRAGONFLYTACK_FUZZ_ROUND_TRIP_H_

#include <string>

#include "dragonflytack/base/failure.h"
#include "fuzz/entry_point.h"

namespace dragonflytack {

// Calls decode(input, &reason), which returns an optional, then encode() and
// decode() on the value. `is_typed` returns true for the failure codes that the
// decoder documents. Returns an empty string or a description of the fault.
template <typename Decode, typename Encode>
std::string CheckRoundTrip(const std::string& input,
                           bool (*is_typed)(FailureCode),
                           Decode decode,
                           Encode encode) {
  Failure reason;
  const auto value = decode(input, &reason);
  if (!value) {
    return is_typed(reason.code)
               ? ""
               : "refused with the code " +
                     std::string(FailureCodeName(reason.code));
  }
  ++DecodedValues();
  Failure second_reason;
  const auto again = decode(encode(*value), &second_reason);
  if (!again) {
    return "the encoded value is refused: " + second_reason.ToString();
  }
  return *again == *value ? "" : "the value changed on the round trip";
}

// For parsers that do not return a failure code.
inline bool AcceptAnyCode(FailureCode /*code*/) {
  return true;
}

template <FailureCode... kCodes>
bool IsOneOf(FailureCode code) {
  return ((code == kCodes) || ...);
}

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_FUZZ_ROUND_TRIP_H_
