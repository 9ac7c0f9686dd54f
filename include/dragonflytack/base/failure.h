#ifndef DRAGONFLYTACK_BASE_FAILURE_H_
#define DRAGONFLYTACK_BASE_FAILURE_H_

#include <string>
#include <string_view>

namespace dragonflytack {

// The kinds of failure that functions of this project report.
enum class FailureCode {
  kNone,
  kInvalidArgument,
  kInvalidSetting,
  kInvalidTable,
  kInvalidCsv,
  kInvalidMessage,
  kInvalidKey,
  kInvalidChart,
  kTooLarge,
  kNotFound,
  kConflict,
  kVersionRegressed,
  kStoreUnreachable,
  kStoreTimeout,
  kStoreRejected,
  kPeerUnreachable,
  kPeerRejected,
  kAuthentication,
  kAddressInUse,
  kOverloaded,
  kDeadlineExceeded,
  kCancelled,
  kNoTarget,
  kUpstreamFailed,
  kDraining,
  kExpired,
  kOutcomeUnknown,
  kInternal,
};

// Returns the name of a code as it appears in logs and in JSON, for example
// "invalid_table".
std::string_view FailureCodeName(FailureCode code);

// The reason why an operation failed. `subject` names what failed (a file with
// its line, a row with its column, a peer address); `detail` describes the
// problem in a sentence.
struct Failure final {
  FailureCode code = FailureCode::kNone;
  std::string subject;
  std::string detail;

  // Returns "code: subject: detail", for display.
  std::string ToString() const;

  friend bool operator==(const Failure&, const Failure&) = default;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_BASE_FAILURE_H_
