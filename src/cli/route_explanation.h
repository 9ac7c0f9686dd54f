#ifndef DRAGONFLYTACK_CLI_ROUTE_EXPLANATION_H_
#define DRAGONFLYTACK_CLI_ROUTE_EXPLANATION_H_

#include <optional>
#include <string>

#include "cli/exit_code.h"
#include "dragonflytack/base/host_port.h"

namespace dragonflytack {

class ToolContext;

// The client account of a caller: its name, one of its API keys, or neither.
struct CallerOption final {
  std::optional<std::string> account;
  std::optional<std::string> key;
};

// Prints the route of `call`, a host and path such as "shop.example/cart/7",
// according to the table in force on `node`: its limits, the share of its calls
// that each service gets, and the account and rank of calls of `caller`. No
// call is sent, and the key is compared in this process. If no route matches,
// fails with kNotFound and lists the routes of the host.
ExitCode ExplainRoute(const std::string& call,
                      const CallerOption& caller,
                      const HostPort& node,
                      ToolContext* context);

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_CLI_ROUTE_EXPLANATION_H_
