// Calls at nodes that know of a table version newer than the one in force.

#include <algorithm>
#include <memory>
#include <string>
#include <thread>

#include <criterion/criterion.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "call_fixture.h"
#include "core_fleet.h"
#include "distribution/message_codec.h"
#include "log_reader.h"
#include "platform/platform_header_codec.h"

namespace dragonflytack {

namespace {

constexpr Milliseconds kSecond{1'000};

// A fixture with one target that no call may reach.
class UnroutedCalls final {
 public:
  UnroutedCalls(bool has_routes, bool is_platform)
      : has_routes_(has_routes),
        fixture_(1,
                 Row(ServiceKind::kOneTime),
                 is_platform ? std::make_shared<platform::PlatformHeaderCodec>()
                             : nullptr,
                 Settings().drain_timeout_ms,
                 has_routes ? CallFixture::Addressing::kRoutes
                            : CallFixture::Addressing::kServices),
        target_(fixture_.Address(1),
                CallFixture::kTargetPort,
                RespondWithRequestId) {}

  CallFixture& fixture() { return fixture_; }

  // Publishes the next version, and waits until a call to a path without a
  // route is refused with `status`. Returns the last response.
  HttpReply PublishAndCall(bool is_outdated, int status) {
    RouteRow route;
    route.name = "a";
    route.host = "h";
    route.prefix = "/a/";
    route.shares = {{"s", 1}};
    Table::Routes routes;
    if (has_routes_) {
      routes[route.name] = route;
    }
    fixture_.Publish(Row(ServiceKind::kOneTime), routes, is_outdated);
    HttpReply reply;
    for (int i = 0; i < 100 && reply.status != status; ++i) {
      const Socket socket(fixture_.Address(0), CallFixture::kCallPort);
      socket.Send(
          "POST /new/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: c1\r\n"
          "x-request-id: c1\r\nContent-Length: 0\r\n\r\n");
      reply = socket.Receive(kSecond);
    }
    return reply;
  }

  int executed() const { return target_.requests(); }

 private:
  const bool has_routes_;
  CallFixture fixture_;
  ScriptedTarget target_;
};

// Returns whether the node has a table in force and knows of `version`, which
// is newer.
bool KnowsNewer(const CoreFleet::Node& node, TableVersion version) {
  return node.routes != nullptr && node.routes->version < version &&
         node.routes->newest_version == version;
}

// Returns whether no running node knows of a version newer than the one in
// force.
bool AllUpToDate(const CoreFleet& fleet) {
  return std::none_of(fleet.nodes.begin(), fleet.nodes.end(),
                      [](const auto& item) {
                        return item.second.routes == nullptr ||
                               item.second.routes->IsOutdated();
                      });
}

// Returns whether the second byte of the frame is the named message kind.
bool IsKind(const std::string& frame, std::string_view name) {
  return TrafficCounters::kKindNames.at(static_cast<size_t>(frame.at(1))) ==
         name;
}

// Starts `count` nodes with one table in force and returns its version.
TableVersion StartWithTable(CoreFleet* fleet, int count) {
  fleet->StartMany({"north1"}, count);
  cr_assert(fleet->RunUntil(30 * kSecond, [&] {
    return fleet->AllHaveNodes(static_cast<size_t>(count));
  }));
  const TableVersion version = fleet->WriteTable({"roster"});
  cr_assert(fleet->RunUntil(6 * kSecond,
                            [&] { return fleet->AllHaveVersion(version); }));
  cr_assert(AllUpToDate(*fleet));
  return version;
}

}  // namespace

// Guards against 404 for a call that a newer version has a route for: callers
// never repeat a call after 404.
Test(outdated_table, calls_without_a_route_are_refused_with_retry_after) {
  for (const bool has_routes : {false, true}) {
    for (const bool is_platform : {false, true}) {
      const std::string context =
          fmt::format("routes {}, platform {}", has_routes, is_platform);
      UnroutedCalls calls(has_routes, is_platform);
      const HttpReply refused = calls.PublishAndCall(true, 503);
      cr_expect_eq(refused.status, 503, "%s: status %d", context.c_str(),
                   refused.status);
      cr_expect(!refused.Header("retry-after").empty(), "%s", context.c_str());
      ExpectEqual(refused.Header("x-reason"), "table_outdated", context);
      ExpectEqual(refused.Header("x-outcome"), "not-run", context);
      // The version after it is in force and does not have the route either.
      const HttpReply missing = calls.PublishAndCall(false, 404);
      cr_expect_eq(missing.status, 404, "%s: status %d", context.c_str(),
                   missing.status);
      ExpectEqual(missing.Header("x-reason"), "no_service", context);
      cr_expect_eq(calls.executed(), 0, "%s", context.c_str());
    }
  }
}

// Guards against a refusal whose cause cannot be found from the id of the
// request.
Test(outdated_table, log_line_names_both_versions) {
  LogReader log;
  UnroutedCalls calls(true, true);
  calls.fixture().SetLogLevel(LogLevel::kInfo);
  calls.PublishAndCall(true, 503);
  const nlohmann::json line = log.WaitFor("call_refused");
  cr_expect(line["call"] == "c1" && line["reason"] == "table_outdated" &&
                line["table"] == 2 && line["newest_table"] == 3,
            "%s", line.dump().c_str());
}

// Guards against nodes that refuse a version and respond as if the table in
// force were the newest one.
Test(outdated_table, refused_version_is_known) {
  CoreFleet fleet;
  StartWithTable(&fleet, 4);
  const TableVersion refused = fleet.WriteTable({"roster", "booking"}, -5);
  fleet.Run(3 * kSecond);
  int refusing_nodes = 0;
  for (const auto& [id, node] : fleet.nodes) {
    if (node.core->Status().refused == refused) {
      ++refusing_nodes;
      cr_expect(KnowsNewer(node, refused), "%s", id.c_str());
    }
  }
  cr_expect_geq(refusing_nodes, 2);
  const TableVersion next = fleet.WriteTable({"booking"});
  cr_assert(
      fleet.RunUntil(6 * kSecond, [&] { return fleet.AllHaveVersion(next); }));
  cr_expect(AllUpToDate(fleet));
}

// Guards against nodes that do not read the store and never learn of a version
// that the designated watchers have refused.
Test(outdated_table, refused_version_is_known_to_peers) {
  CoreFleet fleet;
  fleet.StartMany({"north1", "south1"}, 6);
  cr_assert(
      fleet.RunUntil(30 * kSecond, [&] { return fleet.AllHaveNodes(12); }));
  const TableVersion first = fleet.WriteTable({"roster"});
  cr_assert(
      fleet.RunUntil(6 * kSecond, [&] { return fleet.AllHaveVersion(first); }));
  const TableVersion refused = fleet.WriteTable({"roster", "booking"}, -5);
  fleet.Run(2 * kSecond);
  for (const auto& [id, node] : fleet.nodes) {
    cr_expect(KnowsNewer(node, refused), "%s", id.c_str());
  }
}

// Guards against the same while a version waits until peers hold it.
Test(outdated_table, held_version_is_known) {
  CoreFleet fleet;
  const TableVersion first = StartWithTable(&fleet, 4);
  fleet.network.frame_filter = [](const HostPort&, const HostPort&,
                                  const std::string& frame) {
    return !IsKind(frame, "delta") && !IsKind(frame, "table") &&
           !IsKind(frame, "hold");
  };
  const TableVersion second = fleet.WriteTable({"roster", "booking"});
  fleet.Run(Milliseconds(300));
  cr_assert(fleet.AllHaveVersion(first));
  int holding_nodes = 0;
  for (const auto& [id, node] : fleet.nodes) {
    if (node.core->Status().held == second) {
      ++holding_nodes;
      cr_expect(KnowsNewer(node, second), "%s", id.c_str());
    }
  }
  cr_expect_geq(holding_nodes, 1);
  fleet.network.frame_filter = nullptr;
  cr_assert(fleet.RunUntil(6 * kSecond,
                           [&] { return fleet.AllHaveVersion(second); }));
  cr_expect(AllUpToDate(fleet));
}

// Guards against the same while a version that the store has named is fetched.
Test(outdated_table, version_being_fetched_from_the_store_is_known) {
  CoreFleet fleet;
  StartWithTable(&fleet, 1);
  fleet.store.delay = Milliseconds(300);
  const TableVersion second = fleet.WriteTable({"roster", "booking"});
  const CoreFleet::Node& node = fleet.nodes.begin()->second;
  cr_expect(
      fleet.RunUntil(2 * kSecond, [&] { return KnowsNewer(node, second); }));
  cr_assert(fleet.RunUntil(6 * kSecond,
                           [&] { return fleet.AllHaveVersion(second); }));
  cr_expect(AllUpToDate(fleet));
}

// Guards against the same while a version that a peer has reported does not
// arrive.
Test(outdated_table, version_reported_by_a_peer_is_known) {
  CoreFleet fleet;
  StartWithTable(&fleet, 4);
  NodeId behind;
  for (const auto& [id, node] : fleet.nodes) {
    if (!node.core->Status().designated_watcher) {
      behind = id;
    }
  }
  const HostPort host = fleet.nodes[behind].host;
  fleet.network.frame_filter = [host](const HostPort& from, const HostPort& to,
                                      const std::string& frame) {
    return (from != host && to != host) ||
           (!IsKind(frame, "delta") && !IsKind(frame, "table"));
  };
  const TableVersion second = fleet.WriteTable({"roster", "booking"});
  cr_assert(fleet.RunUntil(
      6 * kSecond, [&] { return KnowsNewer(fleet.nodes[behind], second); }));
  fleet.network.frame_filter = nullptr;
  cr_assert(fleet.RunUntil(6 * kSecond,
                           [&] { return fleet.AllHaveVersion(second); }));
  cr_expect(AllUpToDate(fleet));
}

// Guards against a peer that reports a version that does not exist and thereby
// keeps later versions out of force. Calls without a route are then refused
// with 503 instead of 404, which is the accepted cost.
Test(outdated_table, invented_version_of_a_peer_delays_no_version) {
  CoreFleet fleet;
  const TableVersion first = StartWithTable(&fleet, 4);
  CoreFleet::Node& node = fleet.nodes.begin()->second;
  const TableVersion invented = first + 1'000'000;
  node.core->OnFrame(node.core->Status().links.at(0).link,
                     MessageCodec::Encode(HeldVersionMessage{invented}));
  cr_expect(KnowsNewer(node, invented));
  const TableVersion second = fleet.WriteTable({"roster", "booking"});
  cr_assert(fleet.RunUntil(6 * kSecond,
                           [&] { return fleet.AllHaveVersion(second); }));
  cr_expect(KnowsNewer(node, invented));
}

}  // namespace dragonflytack
