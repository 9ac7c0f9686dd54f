#include "cli/fleet.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include <fmt/format.h>

namespace dragonflytack {

namespace {

using nlohmann::json;

}  // namespace

const json& MemberOrSelf(const json& value, const char* member) {
  const auto found = value.is_object() ? value.find(member) : value.end();
  return value.is_object() && found != value.end() ? *found : value;
}

std::string TextMember(const json& object, const char* name) {
  const auto found = object.is_object() ? object.find(name) : object.end();
  return object.is_object() && found != object.end() && found->is_string()
             ? found->get<std::string>()
             : std::string();
}

uint64_t NumberMember(const json& object, const char* name) {
  const auto found = object.is_object() ? object.find(name) : object.end();
  return object.is_object() && found != object.end() &&
                 found->is_number_unsigned()
             ? found->get<uint64_t>()
             : 0;
}

std::optional<std::vector<FleetNode>> FetchNodes(AdminFetcher* fetcher,
                                                 const HostPort& node,
                                                 Milliseconds timeout,
                                                 Failure* reason) {
  const AdminReply response = fetcher->Fetch(node, "/nodes", timeout);
  if (!response.value) {
    *reason = response.reason;
    return std::nullopt;
  }
  const json& list = MemberOrSelf(*response.value, "nodes");
  if (!list.is_array()) {
    *reason = Failure{FailureCode::kInvalidMessage, node.ToString(),
                      "the response is not a list of nodes"};
    return std::nullopt;
  }
  std::vector<FleetNode> nodes;
  for (const json& item : list) {
    const uint64_t port = NumberMember(item, "admin_port");
    nodes.push_back(FleetNode{
        TextMember(item, "id"), TextMember(item, "region"),
        TextMember(item, "data_centre"),
        HostPort{TextMember(item, "address"),
                 static_cast<uint16_t>(port <= UINT16_MAX ? port : 0)},
        TextMember(item, "state"), TextMember(item, "liveness")});
  }
  std::sort(nodes.begin(), nodes.end(),
            [](const FleetNode& a, const FleetNode& b) {
              return std::tie(a.region, a.data_centre, a.id) <
                     std::tie(b.region, b.data_centre, b.id);
            });
  return nodes;
}

NodeVersion ParseNodeVersion(const AdminReply& status) {
  if (!status.value) {
    return {std::nullopt, status.reason.detail, 0};
  }
  const json& value = *status.value;
  NodeVersion version;
  const auto in_force =
      value.is_object() ? value.find("in_force") : value.end();
  // A node without a table reports "in_force": false along with version 0.
  const bool has_no_table = value.is_object() && in_force != value.end() &&
                            in_force->is_boolean() && !in_force->get<bool>();
  if (has_no_table || !value.is_object() || !value.contains("version")) {
    version.reason = "no table is in force";
  } else {
    version.in_force = NumberMember(value, "version");
    version.accounts = NumberMember(value, "accounts");
    version.account_keys = NumberMember(value, "account_keys");
  }
  if (value.is_object() && value.contains("refused") &&
      value["refused"].is_object()) {
    const json& refused = value["refused"];
    version.refused = NumberMember(refused, "version");
    version.reason =
        fmt::format("refused version {}: {}/{}: {}", version.refused,
                    TextMember(refused, "row"), TextMember(refused, "column"),
                    TextMember(refused, "reason"));
  }
  return version;
}

}  // namespace dragonflytack
