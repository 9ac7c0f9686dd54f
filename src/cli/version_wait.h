#ifndef DRAGONFLYTACK_CLI_VERSION_WAIT_H_
#define DRAGONFLYTACK_CLI_VERSION_WAIT_H_

#include <optional>
#include <string>
#include <vector>

#include "cli/fleet.h"
#include "dragonflytack/base/failure.h"
#include "dragonflytack/table/table_version.h"

namespace dragonflytack {

class ToolContext;

// A node that did not have the version in force before the timeout.
struct MissingNode final {
  FleetNode node;
  NodeVersion version;
};

// The result of waiting for a version.
struct WaitOutcome final {
  // kNone if all nodes have the version, kDeadlineExceeded if some do not or
  // the nodes could not be listed, kInvalidSetting if no node address is
  // configured.
  Failure failure;
  size_t nodes = 0;
  std::vector<MissingNode> missing;
  int64_t elapsed_ms = 0;
};

// Waits until every node that is not dead and has not left has `version` or a
// newer one in force, or until the context's timeout expires. Fetches the list
// of nodes again every second, so that it does not wait for a node that fails
// meanwhile. Shows the progress if standard error is a terminal.
WaitOutcome WaitForVersion(TableVersion version, ToolContext* context);

// Prints the nodes that do not have the version in force.
void PrintMissingNodes(const WaitOutcome& outcome, ToolContext* context);

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_CLI_VERSION_WAIT_H_
