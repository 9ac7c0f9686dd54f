#include <algorithm>
#include <map>
#include <ostream>
#include <tuple>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "cli/fleet.h"
#include "cli/text_table.h"
#include "cli/tool_context.h"
#include "cli/verb.h"

namespace dragonflytack {

namespace {

using nlohmann::json;

struct Place {
  int nodes = 0;
  int current = 0;
  int behind = 0;
  int silent = 0;
  int gone = 0;
};

std::string VersionText(const NodeVersion& version) {
  return version.in_force ? std::to_string(*version.in_force) : "-";
}

class StatusVerb final : public Verb {
 public:
  std::string Notes() const override {
    return "With --store the nodes are compared with the stored version, "
           "otherwise with the\nnewest version in force on any node.\n";
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
    const auto nodes = ReadNodes(&fetcher, *node, timeout, &reason);
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
      versions.push_back(ReadVersion(response));
    }
    // The store may be down; the fleet's state is shown all the same.
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
    std::map<std::pair<std::string, std::string>, Place> places;
    for (const FleetNode& item : *nodes) {
      Place& place = places[{item.region, item.data_centre}];
      place.nodes += item.IsExpected() ? 1 : 0;
      place.gone += item.IsExpected() ? 0 : 1;
    }
    for (size_t i = 0; i < expected.size(); ++i) {
      Place& place = places[{expected[i].region, expected[i].data_centre}];
      const std::optional<TableVersion>& found = versions[i].in_force;
      ++(!found             ? place.silent
         : *found == newest ? place.current
                            : place.behind);
    }
    if (context->options().json) {
      PrintJson(places, expected, versions, stored, newest, context);
    } else {
      PrintText(places, expected, versions, stored, newest, context);
    }
    return ExitCode::kDone;
  }

 private:
  using Places = std::map<std::pair<std::string, std::string>, Place>;

  static void PrintText(const Places& places,
                        const std::vector<FleetNode>& nodes,
                        const std::vector<NodeVersion>& versions,
                        const std::optional<TableVersion>& stored,
                        TableVersion newest,
                        ToolContext* context) {
    context->out() << fmt::format(
        "newest version {}{}\n\n", newest,
        stored ? fmt::format(", stored version {}", *stored) : "");
    TextTable table({"region", "data centre", "nodes", "newest", "older",
                     "no version", "dead or left"});
    for (const auto& [name, place] : places) {
      table.Add({name.first, name.second, std::to_string(place.nodes),
                 std::to_string(place.current), std::to_string(place.behind),
                 std::to_string(place.silent), std::to_string(place.gone)});
    }
    context->out() << table.ToString();
    TextTable stragglers({"node", "region", "data centre", "state", "liveness",
                          "version", "reason"});
    for (size_t i = 0; i < nodes.size(); ++i) {
      if (versions[i].in_force != newest) {
        stragglers.Add({nodes[i].id, nodes[i].region, nodes[i].data_centre,
                        nodes[i].state, nodes[i].liveness,
                        VersionText(versions[i]), versions[i].reason});
      }
    }
    if (stragglers.rows() > 0) {
      context->out() << "\n" << stragglers.ToString();
    }
  }

  static void PrintJson(const Places& places,
                        const std::vector<FleetNode>& nodes,
                        const std::vector<NodeVersion>& versions,
                        const std::optional<TableVersion>& stored,
                        TableVersion newest,
                        ToolContext* context) {
    json place_list = json::array();
    for (const auto& [name, place] : places) {
      place_list.push_back({{"region", name.first},
                            {"data_centre", name.second},
                            {"nodes", place.nodes},
                            {"newest", place.current},
                            {"older", place.behind},
                            {"no_version", place.silent},
                            {"dead_or_left", place.gone}});
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
    context->PrintJson({{"newest_version", newest},
                        {"stored_version", stored ? json(*stored) : json()},
                        {"places", std::move(place_list)},
                        {"nodes", std::move(node_list)}});
  }
};

}  // namespace

std::unique_ptr<Verb> MakeStatusVerb() {
  return std::make_unique<StatusVerb>();
}

}  // namespace dragonflytack
