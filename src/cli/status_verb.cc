#include <algorithm>
#include <map>
#include <ostream>
#include <tuple>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "cli/fleet.h"
#include "cli/rollout_report.h"
#include "cli/text_table.h"
#include "cli/tool_context.h"
#include "cli/verb.h"

namespace dragonflytack {

namespace {

using nlohmann::json;

// Numbers of nodes of one data centre.
struct NodeCounts {
  // Nodes that are not dead and have not left.
  int nodes = 0;
  // These nodes by the version in force; `without_version` includes nodes that
  // did not respond.
  int with_newest = 0;
  int with_older = 0;
  int without_version = 0;
  int dead_or_left = 0;
};

// Returns the reply of a node that has the newest version in force, or a reply
// without accounts if there is none.
NodeVersion FindNewest(const std::vector<NodeVersion>& versions,
                       TableVersion newest) {
  const auto found = std::find_if(
      versions.begin(), versions.end(),
      [newest](const NodeVersion& item) { return item.in_force == newest; });
  return found == versions.end() ? NodeVersion{} : *found;
}

std::string VersionText(const NodeVersion& version) {
  return version.in_force ? std::to_string(*version.in_force) : "-";
}

class StatusVerb final : public Verb {
 public:
  std::string Notes() const override {
    return "With --store the nodes are compared with the stored version, "
           "otherwise with the\nnewest version in force on any node.\nOf a "
           "roll-out, the share is in thousandths of the calls, and failures "
           "are those of all\nresponses since the order.\n";
  }

  ExitCode Run(const Arguments&,
               const boost::program_options::variables_map&,
               ToolContext* context) const override {
    Failure reason;
    const std::optional<HostPort> node = context->Node(&reason);
    if (!node) {
      return context->Fail(reason);
    }
    const Milliseconds timeout = context->options().timeout;
    AdminFetcher fetcher(context->loop(), context->options().shared_key);
    const auto nodes = FetchNodes(&fetcher, *node, timeout, &reason);
    if (!nodes) {
      return context->Fail(reason);
    }
    std::vector<FleetNode> expected;
    std::vector<HostPort> addresses;
    for (const FleetNode& item : *nodes) {
      if (item.IsExpected()) {
        expected.push_back(item);
        addresses.push_back(item.admin);
      }
    }
    std::vector<NodeVersion> versions;
    for (const AdminReply& response :
         fetcher.FetchAll(addresses, "/status", timeout)) {
      versions.push_back(ParseNodeVersion(response));
    }
    // The state of the fleet is printed even if the store cannot be read.
    std::optional<TableVersion> stored;
    if (context->options().store) {
      const auto table = context->ReadTable(&reason);
      if (table) {
        stored = table->version;
      } else {
        context->Fail(reason);
      }
    }
    TableVersion newest = stored.value_or(0);
    for (const NodeVersion& version : versions) {
      newest = std::max(newest, version.in_force.value_or(0));
    }
    std::map<std::pair<std::string, std::string>, NodeCounts> data_centres;
    for (const FleetNode& item : *nodes) {
      NodeCounts& counts = data_centres[{item.region, item.data_centre}];
      counts.nodes += item.IsExpected() ? 1 : 0;
      counts.dead_or_left += item.IsExpected() ? 0 : 1;
    }
    for (size_t i = 0; i < expected.size(); ++i) {
      NodeCounts& counts =
          data_centres[{expected[i].region, expected[i].data_centre}];
      const std::optional<TableVersion>& version_in_force =
          versions[i].in_force;
      ++(!version_in_force             ? counts.without_version
         : *version_in_force == newest ? counts.with_newest
                                       : counts.with_older);
    }
    const std::vector<RolloutView> rollouts =
        FetchRollouts(&fetcher, *node, *nodes, timeout);
    if (context->options().json) {
      PrintJson(data_centres, expected, versions, stored, newest, rollouts,
                context);
      return ExitCode::kDone;
    }
    PrintText(data_centres, expected, versions, stored, newest, context);
    if (!rollouts.empty()) {
      context->out() << "\n" << RolloutsToText(rollouts);
    }
    return ExitCode::kDone;
  }

 private:
  using CountsByDataCentre =
      std::map<std::pair<std::string, std::string>, NodeCounts>;

  static void PrintText(const CountsByDataCentre& data_centres,
                        const std::vector<FleetNode>& nodes,
                        const std::vector<NodeVersion>& versions,
                        const std::optional<TableVersion>& stored,
                        TableVersion newest,
                        ToolContext* context) {
    const NodeVersion& reference = FindNewest(versions, newest);
    context->out() << fmt::format(
        "newest version {}{}\n{}\n", newest,
        stored ? fmt::format(", stored version {}", *stored) : "",
        reference.accounts == 0
            ? ""
            : fmt::format("{} client accounts with {} API keys\n",
                          reference.accounts, reference.account_keys));
    TextTable table({"region", "data centre", "nodes", "newest", "older",
                     "no version", "dead or left"});
    for (const auto& [name, counts] : data_centres) {
      table.Add({name.first, name.second, std::to_string(counts.nodes),
                 std::to_string(counts.with_newest),
                 std::to_string(counts.with_older),
                 std::to_string(counts.without_version),
                 std::to_string(counts.dead_or_left)});
    }
    context->out() << table.ToString();
    TextTable outdated_nodes({"node", "region", "data centre", "state",
                              "liveness", "version", "reason"});
    for (size_t i = 0; i < nodes.size(); ++i) {
      if (versions[i].in_force != newest) {
        outdated_nodes.Add({nodes[i].id, nodes[i].region, nodes[i].data_centre,
                            nodes[i].state, nodes[i].liveness,
                            VersionText(versions[i]), versions[i].reason});
      }
    }
    if (outdated_nodes.rows() > 0) {
      context->out() << "\n" << outdated_nodes.ToString();
    }
  }

  static void PrintJson(const CountsByDataCentre& data_centres,
                        const std::vector<FleetNode>& nodes,
                        const std::vector<NodeVersion>& versions,
                        const std::optional<TableVersion>& stored,
                        TableVersion newest,
                        const std::vector<RolloutView>& rollouts,
                        ToolContext* context) {
    json data_centre_list = json::array();
    for (const auto& [name, counts] : data_centres) {
      data_centre_list.push_back({{"region", name.first},
                                  {"data_centre", name.second},
                                  {"nodes", counts.nodes},
                                  {"newest", counts.with_newest},
                                  {"older", counts.with_older},
                                  {"no_version", counts.without_version},
                                  {"dead_or_left", counts.dead_or_left}});
    }
    json node_list = json::array();
    for (size_t i = 0; i < nodes.size(); ++i) {
      node_list.push_back(
          {{"node", nodes[i].id},
           {"region", nodes[i].region},
           {"data_centre", nodes[i].data_centre},
           {"state", nodes[i].state},
           {"liveness", nodes[i].liveness},
           {"version",
            versions[i].in_force ? json(*versions[i].in_force) : json()},
           {"reason", versions[i].reason}});
    }
    const NodeVersion& reference = FindNewest(versions, newest);
    context->PrintJson({{"newest_version", newest},
                        {"stored_version", stored ? json(*stored) : json()},
                        {"accounts", reference.accounts},
                        {"account_keys", reference.account_keys},
                        {"places", std::move(data_centre_list)},
                        {"nodes", std::move(node_list)},
                        {"rollouts", RolloutsToJson(rollouts)}});
  }
};

}  // namespace

std::unique_ptr<Verb> MakeStatusVerb() {
  return std::make_unique<StatusVerb>();
}

}  // namespace dragonflytack
