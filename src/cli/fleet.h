#ifndef DRAGONFLYTACK_CLI_FLEET_H_
#define DRAGONFLYTACK_CLI_FLEET_H_

#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "cli/admin_fetcher.h"
#include "dragonflytack/base/failure.h"
#include "dragonflytack/base/host_port.h"
#include "dragonflytack/table/table_version.h"

namespace dragonflytack {

// A node as another node knows it.
struct FleetNode final {
  std::string id;
  std::string region;
  std::string data_centre;
  HostPort admin;
  std::string state;
  std::string liveness;

  // False for nodes that are dead or have left.
  bool IsExpected() const { return liveness != "dead" && state != "left"; }
};

// The table version on a node, from its GET /status.
struct NodeVersion final {
  // Nothing when the node did not answer or has no table in force.
  std::optional<TableVersion> in_force;
  // Why the node has no version in force or has refused a newer one; empty
  // otherwise.
  std::string reason;
  // The version that the node has refused, 0 for none.
  TableVersion refused = 0;
};

// Returns the member of an object when it is an array, else the value itself.
// Admin answers wrap their lists in an object that names the node.
const nlohmann::json& ListOf(const nlohmann::json& value, const char* member);

// Returns a member of an object as text; empty when it is not a text.
std::string TextMember(const nlohmann::json& object, const char* name);

// Returns a member of an object as a number; 0 when it is not a whole number
// from 0 on.
uint64_t NumberMember(const nlohmann::json& object, const char* name);

// Asks one node for all nodes, sorted by region, data centre and id.
std::optional<std::vector<FleetNode>> ReadNodes(AdminFetcher* fetcher,
                                                const HostPort& node,
                                                Milliseconds timeout,
                                                Failure* reason);

NodeVersion ReadVersion(const AdminReply& status);

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_CLI_FLEET_H_
