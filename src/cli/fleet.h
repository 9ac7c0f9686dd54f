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

// A node as listed by GET /nodes of another node.
struct FleetNode final {
  std::string id;
  std::string region;
  std::string data_centre;
  HostPort admin;
  std::string state;
  std::string liveness;

  // Returns false if the node is dead or has left.
  bool IsExpected() const { return liveness != "dead" && state != "left"; }
};

// The table version of a node, from its GET /status.
struct NodeVersion final {
  // std::nullopt if the node did not respond or has no table in force.
  std::optional<TableVersion> in_force;
  // Why the node has no version in force or why it refused a newer one; empty
  // otherwise.
  std::string reason;
  // The version that the node has refused; 0 if none.
  TableVersion refused = 0;
  // Numbers of client accounts and of their API keys; 0 without accounts.
  uint64_t accounts = 0;
  uint64_t account_keys = 0;
};

// Returns the member of an object, or the value itself if it is not an object
// or has no such member. Accepts both forms of admin responses: a bare value,
// and an object that has the value beside the id of the node.
const nlohmann::json& MemberOrSelf(const nlohmann::json& value,
                                   const char* member);

// Returns a string member of an object; empty if it is missing or not a string.
std::string TextMember(const nlohmann::json& object, const char* name);

// Returns an unsigned integer member of an object; 0 if it is missing or not an
// unsigned integer.
uint64_t NumberMember(const nlohmann::json& object, const char* name);

// Fetches the list of all nodes from `node`. Returns it sorted by region, data
// centre and id.
std::optional<std::vector<FleetNode>> FetchNodes(AdminFetcher* fetcher,
                                                 const HostPort& node,
                                                 Milliseconds timeout,
                                                 Failure* reason);

// Parses the reply to GET /status.
NodeVersion ParseNodeVersion(const AdminReply& status);

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_CLI_FLEET_H_
