// A store that rejects the calls of some nodes while it serves the others.

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include <criterion/criterion.h>

#include "core_fleet.h"
#include "distribution/link_manager.h"

namespace dragonflytack {

namespace {

constexpr Milliseconds kSecond{1'000};
// Within this time a change must be in force on the nodes that the store
// serves.
constexpr Milliseconds kBound{7'000};

struct Case {
  int nodes;
  // Number of highest-ranked nodes that are rejected.
  size_t rejected;
};

// Returns the nodes that watch the store.
std::vector<NodeId> Watchers(const CoreFleet& fleet) {
  std::vector<NodeId> watchers;
  for (const auto& [id, node] : fleet.nodes) {
    if (node.core->Status().designated_watcher) {
      watchers.push_back(id);
    }
  }
  return watchers;
}

}  // namespace

// Guards against a data centre that learns of no change while the store rejects
// the nodes that watch it.
Test(store_rejection, others_watch_in_place_of_rejected_watchers) {
  for (const Case& test : {Case{6, 2}, Case{12, 4}}) {
    CoreFleet fleet;
    fleet.StartMany({"north1"}, test.nodes);
    cr_assert(fleet.RunUntil(30 * kSecond, [&] {
      return fleet.AllHaveNodes(static_cast<size_t>(test.nodes));
    }));
    fleet.Run(2 * LinkManager::kUnwantedLinkLifetime);
    const TableVersion first = fleet.WriteTable({"roster"});
    cr_assert(fleet.RunUntil(6 * kSecond,
                             [&] { return fleet.AllHaveVersion(first); }));
    const std::vector<NodeId> designated = Watchers(fleet);
    cr_assert_eq(designated.size(), 2);
    TableVersion version = first;
    size_t rejected = 0;
    // The last group is rejected at the moment of the change; the change before
    // it finds the standby watchers.
    while (rejected < test.rejected) {
      for (const NodeId& id : Watchers(fleet)) {
        if (fleet.store.rejected_clients.insert(&fleet.nodes[id].paused)
                .second) {
          ++rejected;
        }
      }
      fleet.Run(Milliseconds(300));
      version =
          fleet.WriteTable({"roster", "booking"}, static_cast<int>(rejected));
      cr_expect(
          fleet.RunUntil(kBound, [&] { return fleet.AllHaveVersion(version); }),
          "%d nodes, %zu rejected", test.nodes, rejected);
    }
    fleet.store.rejected_clients.clear();
    // Standby watchers stop when the designated watchers are served again.
    cr_expect(fleet.RunUntil(8 * kSecond,
                             [&] { return Watchers(fleet) == designated; }));
    version = fleet.WriteTable({"roster"});
    cr_expect(fleet.RunUntil(2 * kSecond,
                             [&] { return fleet.AllHaveVersion(version); }));
  }
}

// Guards against standby watchers that add calls while one of the designated
// watchers is served.
Test(store_rejection, one_served_watcher_is_enough) {
  CoreFleet fleet;
  fleet.StartMany({"north1"}, 8);
  cr_assert(
      fleet.RunUntil(30 * kSecond, [&] { return fleet.AllHaveNodes(8); }));
  fleet.Run(2 * LinkManager::kUnwantedLinkLifetime);
  const TableVersion first = fleet.WriteTable({"roster"});
  cr_assert(
      fleet.RunUntil(6 * kSecond, [&] { return fleet.AllHaveVersion(first); }));
  const std::vector<NodeId> designated = Watchers(fleet);
  fleet.store.rejected_clients.insert(&fleet.nodes[designated.at(0)].paused);
  for (int i = 0; i < 100; ++i) {
    fleet.Run(Milliseconds(100));
    cr_assert(Watchers(fleet) == designated, "after %d ms", 100 * i);
  }
}

}  // namespace dragonflytack
