#ifndef DRAGONFLYTACK_CLI_ROUTE_EXPLANATION_H_
#define DRAGONFLYTACK_CLI_ROUTE_EXPLANATION_H_

#include <string>

#include "cli/exit_code.h"
#include "dragonflytack/base/host_port.h"

namespace dragonflytack {

class ToolContext;

// Prints the route of `call`, a host and path such as "shop.example/cart/7",
// according to the table in force on `node`: its limits and the share of its
// calls that each service gets. If no route matches, fails with kNotFound and
// lists the routes of the host.
ExitCode ExplainRoute(const std::string& call,
                      const HostPort& node,
                      ToolContext* context);

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_CLI_ROUTE_EXPLANATION_H_
