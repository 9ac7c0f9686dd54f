#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include <criterion/criterion.h>

#include "core_fleet.h"
#include "distribution/seed_list.h"

namespace dragonflytack {

namespace {

// Ids of the running nodes that the store object "seeds" lists.
std::vector<NodeId> ListedNodes(const CoreFleet& fleet) {
  Failure reason;
  const std::optional<SeedList> seeds =
      SeedList::Parse(fleet.store.Read("seeds").value, &reason);
  std::vector<NodeId> ids;
  if (!seeds) {
    return ids;
  }
  for (const auto& [name, data_centre] : seeds->data_centres) {
    for (const auto& [id, node] : fleet.nodes) {
      if (node.core != nullptr &&
          std::find(data_centre.peers.begin(), data_centre.peers.end(),
                    node.host) != data_centre.peers.end()) {
        ids.push_back(id);
      }
    }
  }
  return ids;
}

}  // namespace

// Guards against a first node that waits for peers that do not exist.
Test(distribution_join, single_node_puts_table_in_force) {
  for (const bool has_table : {false, true}) {
    CoreFleet fleet;
    const TableVersion version = has_table ? fleet.WriteTable({"roster"}) : 0;
    CoreFleet::Node& node = fleet.Start("a", "north1");
    node.core->SetTarget("roster", TargetState::kReady, 3);
    cr_assert(fleet.RunUntil(Milliseconds(3'000),
                             [&] { return node.routes != nullptr; }));
    cr_assert_eq(node.routes->version, version);
    cr_assert_eq(node.routes->services.size(), has_table ? 1 : 0);
    if (has_table) {
      const auto& endpoints = node.routes->Find("roster")->endpoints;
      cr_assert_eq(endpoints.size(), 1);
      cr_assert_eq(endpoints[0].record.slots, 3);
    }
  }
}

// Guards against first nodes that never connect. No seeds are configured, so
// the store object "seeds" is their only source of peers.
Test(distribution_join, empty_fleet_connects_through_seed_list) {
  for (const uint64_t seed : {1, 2, 3, 4, 5}) {
    CoreFleet fleet(seed);
    fleet.StartMany({"north1", "north2", "south1"}, 3);
    cr_assert(fleet.RunUntil(Milliseconds(30'000),
                             [&] { return fleet.AllHaveNodes(9); }),
              "seed %lu", seed);
    const TableVersion version = fleet.WriteTable({"roster"});
    cr_assert(fleet.RunUntil(Milliseconds(3'000),
                             [&] { return fleet.AllHaveVersion(version); }),
              "seed %lu", seed);
  }
}

// Guards against a restarted node that refuses calls while it waits for peers,
// although the first response of the store contained the table.
Test(distribution_join, prefetched_table_is_in_force_immediately) {
  CoreFleet fleet;
  const TableVersion version = fleet.WriteTable({"roster"});
  fleet.store.prefetches_objects = true;
  CoreFleet::Node& node = fleet.Start("a", "north1");
  cr_assert(fleet.RunUntil(Milliseconds(300), [&] {
    return node.routes != nullptr && node.routes->version == version;
  }));
  cr_assert_eq(fleet.store.calls["get table"], 0);
  const TableVersion second = fleet.WriteTable({"roster", "booking"});
  cr_assert(fleet.RunUntil(Milliseconds(3'000),
                           [&] { return fleet.AllHaveVersion(second); }));
  cr_assert_eq(fleet.store.calls["get table"], 0);
}

// Guards against a node that refuses all attempts of one-time calls: the daemon
// opens its call ports for the incarnation that the node has with its first
// table, and attempts are addressed to the one in its record. The clock of the
// host was set back before the restart, and the node finds no peer at first.
Test(distribution_join, incarnation_is_final_with_the_first_table) {
  CoreFleet fleet(1);
  fleet.WriteTable({"roster"});
  fleet.StartMany({"north1"}, 3);
  cr_assert(fleet.RunUntil(Milliseconds(30'000),
                           [&] { return fleet.AllHaveNodes(3); }));
  fleet.Crash("north1-0");
  fleet.clock.StepWall(Milliseconds(-60'000));
  CoreFleet::Node& node = fleet.nodes["north1-0"];
  fleet.network.is_partitioned = [&](const HostPort& a, const HostPort& b) {
    return (a == node.host) != (b == node.host);
  };
  fleet.Boot("north1-0");
  cr_assert(fleet.RunUntil(Milliseconds(10'000),
                           [&] { return node.routes != nullptr; }));
  const uint64_t incarnation = node.core->self().incarnation;
  fleet.network.is_partitioned = [](const HostPort&, const HostPort&) {
    return false;
  };
  fleet.Run(Milliseconds(20'000));
  cr_expect_eq(node.core->self().incarnation, incarnation, "%lu, was %lu",
               node.core->self().incarnation, incarnation);
}

// Guards against a young fleet that falls apart into two meshes: each data
// centre listed its first node only, so that nodes that restarted together with
// all listed ones found no peer and started a mesh from the store.
Test(distribution_join, young_fleet_stays_connected_through_restarts) {
  for (const uint64_t seed : {1, 2, 3, 4, 5, 6, 7, 8}) {
    CoreFleet fleet(seed);
    fleet.WriteTable({"roster"});
    // Nodes that start within the same second write the list at the same time.
    for (const char* number : {"-0", "-1"}) {
      for (const char* name : {"north1", "north2", "south1", "south2"}) {
        fleet.Start(std::string(name) + number, name);
        fleet.Run(Milliseconds(50));
      }
    }
    fleet.Run(Milliseconds(4'000));
    cr_assert(fleet.AllHaveNodes(8), "seed %lu", seed);
    std::vector<NodeId> restarted = ListedNodes(fleet);
    for (const auto& [id, node] : fleet.nodes) {
      if (restarted.size() < 5 && std::find(restarted.begin(), restarted.end(),
                                            id) == restarted.end()) {
        restarted.push_back(id);
      }
    }
    restarted.resize(5);
    for (const NodeId& id : restarted) {
      fleet.nodes[id].core->BeginDrain();
    }
    fleet.Run(Milliseconds(200));
    for (const NodeId& id : restarted) {
      fleet.nodes[id].core->AnnounceSuccessor("");
    }
    fleet.Run(Milliseconds(200));
    for (const NodeId& id : restarted) {
      fleet.Crash(id);
    }
    for (const NodeId& id : restarted) {
      fleet.Run(Milliseconds(500));
      fleet.Boot(id);
    }
    cr_expect(fleet.RunUntil(Milliseconds(5'000),
                             [&] { return fleet.AllHaveNodes(8); }),
              "seed %lu", seed);
  }
}

// Guards against a fleet that falls apart behind a seed list that another
// writer has replaced by something unreadable, when all processes end.
Test(distribution_join, unreadable_seed_list_is_replaced) {
  for (const char* value : {"", "x", "7", "[]", "null"}) {
    CoreFleet fleet;
    fleet.WriteTable({"roster"});
    fleet.StartMany({"north1", "north2", "south1"}, 2);
    cr_assert(fleet.RunUntil(Milliseconds(10'000),
                             [&] { return fleet.AllHaveNodes(6); }));
    fleet.store.Write("seeds", value);
    for (const auto& [id, node] : fleet.nodes) {
      fleet.Crash(id);
    }
    fleet.Run(Milliseconds(1'000));
    for (const auto& [id, node] : fleet.nodes) {
      fleet.Boot(id);
    }
    cr_expect(fleet.RunUntil(Milliseconds(15'000),
                             [&] { return fleet.AllHaveNodes(6); }),
              "behind \"%s\"", value);
  }
}

// Guards against a data centre that is listed with fewer nodes than it has, and
// against many calls to the store when all data centres update their entries.
Test(distribution_join, seed_list_follows_a_growing_fleet) {
  for (const uint64_t seed : {1, 2, 3, 4, 5}) {
    CoreFleet fleet(seed);
    fleet.StartMany({"north1", "north2", "south1"}, 3);
    cr_expect(fleet.RunUntil(Milliseconds(6'000),
                             [&] { return ListedNodes(fleet).size() == 9; }),
              "seed %lu: %zu nodes are listed", seed,
              ListedNodes(fleet).size());
    fleet.Run(Milliseconds(50'000));
    cr_expect_leq(fleet.store.calls["get seeds"], 40, "seed %lu: %d", seed,
                  fleet.store.calls["get seeds"]);
    cr_expect_leq(fleet.store.calls["put seeds"], 20, "seed %lu: %d", seed,
                  fleet.store.calls["put seeds"]);
    fleet.store.calls.clear();
    for (int i = 3; i < 8; ++i) {
      fleet.Start("north1-" + std::to_string(i), "north1");
      fleet.Run(Milliseconds(2'000));
    }
    cr_expect(fleet.RunUntil(Milliseconds(10'000),
                             [&] { return ListedNodes(fleet).size() == 14; }),
              "seed %lu: %zu nodes are listed", seed,
              ListedNodes(fleet).size());
    cr_expect_leq(fleet.store.calls["get seeds"], 22, "seed %lu: %d", seed,
                  fleet.store.calls["get seeds"]);
    cr_expect_leq(fleet.store.calls["put seeds"], 10, "seed %lu: %d", seed,
                  fleet.store.calls["put seeds"]);
  }
}

}  // namespace dragonflytack
