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

// A node that did not have the version in force in time.
struct MissingNode final {
  FleetNode node;
  NodeVersion version;
};

// What waiting for a version led to.
struct WaitOutcome final {
  // kNone when all nodes have the version, kDeadlineExceeded when some do not,
  // or why the nodes could not be listed.
  Failure failure;
  size_t nodes = 0;
  std::vector<MissingNode> missing;
  int64_t milliseconds = 0;
};

// Waits until every node that is neither dead nor gone has at least the version
// in force, or the context's timeout has passed. The list of nodes is read
// again every second, so that a node that dies meanwhile is not waited for.
// Shows the progress when standard error is a terminal.
WaitOutcome WaitForVersion(TableVersion version, ToolContext* context);

// Prints the nodes that are missing.
void PrintMissing(const WaitOutcome& outcome, ToolContext* context);

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_CLI_VERSION_WAIT_H_
