#ifndef DRAGONFLYTACK_CLI_EXIT_CODE_H_
#define DRAGONFLYTACK_CLI_EXIT_CODE_H_

#include "dragonflytack/base/failure.h"

namespace dragonflytack {

// Exit codes of the tool, as documented in docs/interfaces.md.
enum class ExitCode {
  kDone = 0,
  kFailed = 1,
  kUsage = 2,
  kConflict = 3,
  kStoreUnreachable = 4,
  kTimeout = 5,
};

// Returns the exit code of a verb that ended with `code`.
ExitCode ExitCodeOf(FailureCode code);

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_CLI_EXIT_CODE_H_
