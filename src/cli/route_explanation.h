#ifndef DRAGONFLYTACK_CLI_ROUTE_EXPLANATION_H_
#define DRAGONFLYTACK_CLI_ROUTE_EXPLANATION_H_

#include <string>

#include "cli/exit_code.h"
#include "dragonflytack/base/host_port.h"

namespace dragonflytack {

class ToolContext;

// Shows which route a call to `call`, a host and path such as
// "shop.example/cart/7", takes by the table that the node has in force, with
// the limits of the route and the part of its calls that each service gets.
// Ends with kNotFound, and the routes of the host, when no route matches.
ExitCode ExplainRoute(const std::string& call,
                      const HostPort& node,
                      ToolContext* context);

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_CLI_ROUTE_EXPLANATION_H_
