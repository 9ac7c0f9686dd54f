#include "cli/exit_code.h"

namespace dragonflytack {

ExitCode ExitCodeOf(FailureCode code) {
  switch (code) {
    case FailureCode::kNone:
      return ExitCode::kDone;
    case FailureCode::kInvalidArgument:
    case FailureCode::kInvalidSetting:
      return ExitCode::kUsage;
    case FailureCode::kConflict:
      return ExitCode::kConflict;
    case FailureCode::kStoreUnreachable:
    case FailureCode::kStoreTimeout:
    case FailureCode::kStoreRejected:
      return ExitCode::kStoreUnreachable;
    case FailureCode::kDeadlineExceeded:
      return ExitCode::kTimeout;
    default:
      return ExitCode::kFailed;
  }
}

}  // namespace dragonflytack
