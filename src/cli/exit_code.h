#ifndef DRAGONFLYTACK_CLI_EXIT_CODE_H_
#define DRAGONFLYTACK_CLI_EXIT_CODE_H_

#include "dragonflytack/base/failure.h"

namespace dragonflytack {

// Exit codes of the tool, as in docs/interfaces.md.
enum class ExitCode {
  kDone = 0,
  kFailed = 1,
  kUsage = 2,
  kConflict = 3,
  kStoreUnreachable = 4,
  kTimeout = 5,
};

// Returns the exit code that a failure leads to.
ExitCode ExitCodeOf(FailureCode code);

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_CLI_EXIT_CODE_H_
