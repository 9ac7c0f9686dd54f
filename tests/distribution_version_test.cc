#include <algorithm>
#include <string>
#include <vector>

#include <criterion/criterion.h>

#include "core_fleet.h"
#include "distribution/link_manager.h"
#include "distribution/message_codec.h"

namespace dragonflytack {

namespace {

constexpr Milliseconds kSecond{1'000};

// Returns whether the second byte of the frame is the named message kind.
bool IsKind(const std::string& frame, std::string_view name) {
  return TrafficCounters::kKindNames.at(static_cast<size_t>(frame.at(1))) ==
         name;
}

}  // namespace

// Guards against a restarted node that puts the older version of a stale peer
// in force while the store is down and all peers with the newer version are
// unreachable.
Test(distribution_version, restart_with_stale_peer_and_store_down) {
  for (const uint64_t seed : {1, 2, 3}) {
    CoreFleet fleet(seed);
    fleet.StartMany({"north1"}, 6);
    cr_assert(
        fleet.RunUntil(30 * kSecond, [&] { return fleet.AllHaveNodes(6); }));
    const TableVersion old_version = fleet.WriteTable({"roster"});
    cr_assert(fleet.RunUntil(
        6 * kSecond, [&] { return fleet.AllHaveVersion(old_version); }));
    // Designated watchers would read the newer version from the store.
    std::vector<NodeId> non_watchers;
    for (const auto& [id, node] : fleet.nodes) {
      if (!node.core->Status().designated_watcher) {
        non_watchers.push_back(id);
      }
    }
    const HostPort stale = fleet.nodes[non_watchers.at(0)].host;
    const NodeId id = non_watchers.at(1);
    const HostPort restarted = fleet.nodes[id].host;
    fleet.network.is_partitioned = [&](const HostPort& a, const HostPort& b) {
      return a == stale || b == stale;
    };
    const TableVersion version = fleet.WriteTable({"roster", "booking"});
    cr_assert(fleet.RunUntil(
        6 * kSecond, [&] { return fleet.nodes[id].version() == version; }));
    fleet.store.mode = FakeStore::Mode::kUnreachable;
    fleet.nodes[id].settings.seeds = {stale};
    fleet.Crash(id);
    fleet.network.is_partitioned = [&](const HostPort& a, const HostPort& b) {
      return (a == stale || a == restarted) != (b == stale || b == restarted);
    };
    fleet.Boot(id);
    fleet.Run(30 * kSecond);
    cr_assert_eq(fleet.nodes[id].version(), 0, "seed %lu", seed);
    fleet.network.is_partitioned = [](const HostPort&, const HostPort&) {
      return false;
    };
    cr_assert(fleet.RunUntil(30 * kSecond,
                             [&] { return fleet.AllHaveVersion(version); }),
              "seed %lu", seed);
  }
}

// Guards against a node that ends at an older version when updates are
// reordered or duplicated in transit, and against route snapshots that mix
// table versions.
Test(distribution_version, reordered_updates_reach_the_newest_version) {
  for (const uint64_t seed : {1, 2, 3, 4}) {
    CoreFleet fleet(seed);
    fleet.StartMany({"north1", "south1"}, 4);
    cr_assert(
        fleet.RunUntil(30 * kSecond, [&] { return fleet.AllHaveNodes(8); }));
    fleet.network.jitter = Milliseconds(120);
    fleet.network.reorder = true;
    fleet.network.duplicate = 0.3;
    TableVersion version = 0;
    for (int i = 0; i < 8; ++i) {
      version = fleet.WriteTable({"roster", "s" + std::to_string(i)}, i);
      fleet.Run(Milliseconds(35 * i));
    }
    cr_assert(fleet.RunUntil(6 * kSecond,
                             [&] { return fleet.AllHaveVersion(version); }),
              "seed %lu", seed);
    fleet.Run(kSecond);
    for (const auto& [id, node] : fleet.nodes) {
      cr_assert_eq(node.routes->version, version);
      cr_assert_eq(node.routes->services.size(), 2);
      cr_assert_eq(node.routes->Find("roster")->row.max_queue, 7);
    }
  }
}

// Guards against a version that is in force on one node only and is lost when
// that node crashes, and against a wait that never ends if acknowledgements are
// lost.
Test(distribution_version, version_waits_until_peers_hold_it) {
  CoreFleet fleet;
  fleet.StartMany({"north1", "south1"}, 3);
  cr_assert(
      fleet.RunUntil(30 * kSecond, [&] { return fleet.AllHaveNodes(6); }));
  const TableVersion first = fleet.WriteTable({"roster"});
  cr_assert(
      fleet.RunUntil(6 * kSecond, [&] { return fleet.AllHaveVersion(first); }));
  // Peers can get the version from the store only.
  fleet.network.frame_filter = [](const HostPort&, const HostPort&,
                                  const std::string& frame) {
    return !IsKind(frame, "delta") && !IsKind(frame, "table") &&
           !IsKind(frame, "hold");
  };
  const TableVersion second = fleet.WriteTable({"roster", "booking"});
  fleet.Run(Milliseconds(300));
  cr_assert(fleet.AllHaveVersion(first));
  bool any_holds = false;
  for (const auto& [id, node] : fleet.nodes) {
    any_holds |= node.core->Status().held == second;
  }
  cr_assert(any_holds);
  // Only acknowledgements are lost; heartbeats replace them.
  fleet.network.frame_filter = [](const HostPort&, const HostPort&,
                                  const std::string& frame) {
    return !IsKind(frame, "hold");
  };
  cr_assert(fleet.RunUntil(6 * kSecond,
                           [&] { return fleet.AllHaveVersion(second); }));
}

// Guards against late changes in a data centre whose two designated watchers
// are frozen: their links count as up for 3 s without a frame, but a change has
// to be in force 2 s after it was acknowledged.
Test(distribution_version,
     change_in_time_while_designated_watchers_are_frozen) {
  constexpr Milliseconds kBound{2'000};
  const std::vector<std::string> data_centres = {"north1", "south1", "south2",
                                                 "south3"};
  for (const std::string& paused_data_centre : data_centres) {
    for (const Milliseconds before : {Milliseconds(0), Milliseconds(1'200)}) {
      CoreFleet fleet;
      fleet.StartMany(data_centres, 4);
      cr_assert(
          fleet.RunUntil(30 * kSecond, [&] { return fleet.AllHaveNodes(16); }));
      // Lets the nodes close the links that served only for joining.
      fleet.Run(2 * LinkManager::kUnwantedLinkLifetime);
      const TableVersion first = fleet.WriteTable({"roster"});
      cr_assert(fleet.RunUntil(6 * kSecond,
                               [&] { return fleet.AllHaveVersion(first); }));
      std::vector<NodeId> remaining;
      for (const auto& [id, node] : fleet.nodes) {
        if (node.settings.data_centre == paused_data_centre) {
          if (node.core->Status().designated_watcher) {
            fleet.Pause(id, true);
          } else {
            remaining.push_back(id);
          }
        }
      }
      cr_assert_eq(remaining.size(), 2);
      fleet.Run(before);
      const TableVersion second = fleet.WriteTable({"roster", "booking"});
      fleet.Run(kBound);
      for (const NodeId& id : remaining) {
        cr_assert_eq(fleet.nodes[id].version(), second,
                     "%s, watchers paused %ld ms before the change", id.c_str(),
                     before.count());
      }
      for (auto& [id, node] : fleet.nodes) {
        fleet.Pause(id, false);
      }
      cr_assert(fleet.RunUntil(6 * kSecond,
                               [&] { return fleet.AllHaveVersion(second); }));
      // Standby watchers stop watching when the designated watchers respond
      // again.
      fleet.Run(4 * kSecond);
      for (const NodeId& id : remaining) {
        cr_assert_not(fleet.nodes[id].core->Status().designated_watcher);
      }
    }
  }
}

// Guards against starting nodes that become standby watchers although the
// designated watchers are alive: each one adds a watch at the store, and a
// joining one would read the store before its peers could send the table.
Test(distribution_version, starting_nodes_do_not_become_standby_watchers) {
  for (const uint64_t seed : {1, 2, 3}) {
    CoreFleet fleet(seed);
    fleet.StartMany({"north1", "south1"}, 12);
    const TableVersion version = fleet.WriteTable({"roster"});
    cr_assert(fleet.RunUntil(30 * kSecond, [&] {
      return fleet.AllHaveNodes(24) && fleet.AllHaveVersion(version);
    }));
    fleet.Run(2 * LinkManager::kUnwantedLinkLifetime);
    std::vector<NodeId> restarted;
    for (const auto& [id, node] : fleet.nodes) {
      if (!node.core->Status().designated_watcher) {
        restarted.push_back(id);
      }
    }
    cr_assert_eq(restarted.size(), 20);
    for (const NodeId& id : restarted) {
      fleet.Crash(id);
    }
    fleet.Run(Milliseconds(300));
    for (const NodeId& id : restarted) {
      fleet.Boot(id);
    }
    for (int i = 0; i < 500; ++i) {
      fleet.Run(Milliseconds(10));
      for (const auto& [id, node] : fleet.nodes) {
        cr_assert_not(node.core->Status().standby_watcher,
                      "seed %lu: %s after %d ms", seed, id.c_str(), 10 * i);
      }
    }
    cr_expect(fleet.AllHaveVersion(version));
  }
}

// Guards against an invalid version that is applied in part or stops a node,
// and against a restarted node that waits for that version forever.
Test(distribution_version, invalid_version_is_refused_as_a_whole) {
  CoreFleet fleet;
  fleet.StartMany({"north1", "south1"}, 4);
  cr_assert(
      fleet.RunUntil(30 * kSecond, [&] { return fleet.AllHaveNodes(8); }));
  const TableVersion good = fleet.WriteTable({"roster"});
  cr_assert(
      fleet.RunUntil(6 * kSecond, [&] { return fleet.AllHaveVersion(good); }));
  const TableVersion bad = fleet.WriteTable({"roster", "booking"}, -5);
  fleet.Run(3 * kSecond);
  cr_assert(fleet.AllHaveVersion(good));
  int refusals = 0;
  for (const auto& [id, node] : fleet.nodes) {
    const DistributionStatus status = node.core->Status();
    if (status.refused != 0) {
      ++refusals;
      cr_assert_eq(status.refused, bad);
      cr_assert(status.refusal.code == FailureCode::kInvalidTable);
      cr_assert(status.refusal.subject.find("max_queue") != std::string::npos,
                "subject %s", status.refusal.subject.c_str());
    }
  }
  cr_assert_geq(refusals, 2);
  fleet.Crash("north1-2");
  fleet.Boot("north1-2");
  cr_assert(
      fleet.RunUntil(20 * kSecond, [&] { return fleet.AllHaveVersion(good); }));
  const TableVersion next = fleet.WriteTable({"booking"});
  cr_assert(
      fleet.RunUntil(6 * kSecond, [&] { return fleet.AllHaveVersion(next); }));
}

// Guards against a corrupted copy from a peer that is put in force, or that
// makes the node refuse the version forever.
Test(distribution_version, corrupted_delta_and_table_from_a_peer) {
  CoreFleet fleet;
  fleet.StartMany({"north1"}, 4);
  cr_assert(
      fleet.RunUntil(30 * kSecond, [&] { return fleet.AllHaveNodes(4); }));
  const TableVersion first = fleet.WriteTable({"roster"});
  cr_assert(
      fleet.RunUntil(6 * kSecond, [&] { return fleet.AllHaveVersion(first); }));
  CoreFleet::Node& node = fleet.nodes["north1-0"];
  const LinkId link = node.core->Status().links.at(0).link;
  TableDelta delta{first, first + 5, {}, {}, 1234};
  delta.changed.push_back(ServiceRow{"booking"});
  Table::Rows bad_rows;
  bad_rows["booking"] = ServiceRow{"booking"};
  bad_rows["booking"].slots = -1;
  const Message corrupted[] = {DeltaMessage{delta},
                               TableMessage{first + 5, 1234, {}},
                               TableMessage{first + 5, 0, bad_rows}};
  for (const Message& message : corrupted) {
    node.core->OnFrame(link, MessageCodec::Encode(message));
    cr_assert_eq(node.version(), first);
    cr_assert_eq(node.core->Status().refused, first + 5);
  }
  const uint64_t requests = fleet.FramesSent("table_request");
  fleet.Run(10 * kSecond);
  cr_assert_leq(fleet.FramesSent("table_request"), requests + 1);
  while (fleet.WriteTable({"roster", "booking"}) < first + 5) {
  }
  cr_assert(fleet.RunUntil(6 * kSecond,
                           [&] { return fleet.AllHaveVersion(first + 5); }));
}

// Guards against a retry storm on the store during an outage and at its end,
// and against a call rate that grows with the number of nodes.
Test(distribution_version, store_outage_causes_no_retry_storm) {
  CoreFleet fleet;
  fleet.StartMany({"north1", "south1"}, 10);
  cr_assert(
      fleet.RunUntil(60 * kSecond, [&] { return fleet.AllHaveNodes(20); }));
  fleet.Run(60 * kSecond);
  const TableVersion first = fleet.WriteTable({"roster"});
  cr_assert(
      fleet.RunUntil(6 * kSecond, [&] { return fleet.AllHaveVersion(first); }));
  fleet.store.calls.clear();
  fleet.store.mode = FakeStore::Mode::kUnreachable;
  fleet.Run(120 * kSecond);
  // 4 designated watchers, whose retries are 1 to 2 s apart after the first 4.
  cr_assert_leq(fleet.store.calls["watch table"], 4 * (4 + 120));
  cr_assert_leq(fleet.store.calls["get table"], 8);
  fleet.store.calls.clear();
  fleet.store.mode = FakeStore::Mode::kUp;
  const TableVersion second = fleet.WriteTable({"roster", "booking"});
  cr_assert(fleet.RunUntil(6 * kSecond,
                           [&] { return fleet.AllHaveVersion(second); }));
  fleet.Run(10 * kSecond);
  cr_assert_leq(fleet.store.calls["watch table"], 12);
  cr_assert_leq(fleet.store.calls["get table"], 4);
}

// Guards against an old table that stays in force on nodes whose links went
// silent just before it was replaced, although new links would work.
Test(distribution_version, silent_links_delay_no_version) {
  for (const uint64_t seed : {1, 2, 3}) {
    CoreFleet fleet(seed);
    fleet.WriteTable({"roster"});
    fleet.StartMany({"north1", "north2", "south1"}, 5);
    cr_assert(fleet.RunUntil(Milliseconds(30'000),
                             [&] { return fleet.AllHaveNodes(15); }));
    fleet.Run(Milliseconds(10'000));
    for (const auto& [a, first] : fleet.nodes) {
      for (const auto& [b, second] : fleet.nodes) {
        fleet.network.DropFramesBetween(first.host, second.host);
      }
    }
    const TableVersion version = fleet.WriteTable({"roster", "booking"});
    cr_expect(fleet.RunUntil(Milliseconds(3'000),
                             [&] { return fleet.AllHaveVersion(version); }),
              "seed %lu", seed);
  }
}

// Guards against starting nodes that each leave a watch at the store: the
// registry of such a node contains only itself, so it counts as a designated
// watcher. The watches of 5,300 nodes exceed the store's rate limit.
Test(distribution_version, starting_nodes_leave_no_watches) {
  CoreFleet fleet;
  fleet.StartMany({"north1"}, 2);
  cr_assert(
      fleet.RunUntil(60 * kSecond, [&] { return fleet.AllHaveNodes(2); }));
  const TableVersion first = fleet.WriteTable({"roster"});
  cr_assert(
      fleet.RunUntil(6 * kSecond, [&] { return fleet.AllHaveVersion(first); }));
  for (int i = 0; i < 20; ++i) {
    fleet.Start("late" + std::to_string(i), "north1");
  }
  size_t peak = 0;
  cr_assert(fleet.RunUntil(10 * kSecond, [&] {
    peak = std::max(peak, fleet.store.pending_watches());
    return fleet.AllHaveNodes(22);
  }));
  // The two designated watchers, and two that were replaced by joining nodes.
  cr_assert_leq(peak, 4);
}

// Guards against a node that serves too many snapshots at a time, and against
// joining nodes that never receive one.
Test(distribution_version, concurrent_snapshots_are_limited) {
  CoreFleet fleet;
  fleet.Start("first", "north1");
  fleet.Run(3 * kSecond);
  fleet.WriteTable({"roster"});
  fleet.Run(3 * kSecond);
  fleet.store.mode = FakeStore::Mode::kUnreachable;
  fleet.network.delay = Milliseconds(150);
  for (int i = 0; i < 8; ++i) {
    fleet.nodes["n" + std::to_string(i)].settings.seeds = {
        fleet.nodes["first"].host};
    fleet.Start("n" + std::to_string(i), "north1");
  }
  size_t peak = 0;
  cr_assert(fleet.RunUntil(30 * kSecond, [&] {
    peak = std::max(peak, fleet.nodes["first"].core->Status().snapshots_served);
    return fleet.AllHaveVersion(1) ||
           fleet.AllHaveVersion(fleet.nodes["first"].version());
  }));
  cr_assert_eq(peak, 2);
  cr_assert_gt(fleet.FramesSent("busy"), 0);
}

// Compares the fleet with a baseline in which each node reads the store itself,
// under the same seeded operations and faults. Both must end with the store's
// table on every node; the test fixture checks that no version ever falls.
Test(distribution_version,
     same_result_as_baseline_under_faults,
     .timeout = 300) {
  for (uint64_t seed = 1; seed <= 12; ++seed) {
    std::vector<Table::Rows> results;
    for (const bool baseline : {true, false}) {
      CoreFleet fleet(seed);
      fleet.baseline = baseline;
      fleet.StartMany({"north1", "north2", "south1"}, 3);
      fleet.Run(20 * kSecond);
      Random random(seed);
      for (int step = 0; step < 25; ++step) {
        const NodeId id = "north" + std::to_string(1 + random.Below(2)) + "-" +
                          std::to_string(random.Below(3));
        CoreFleet::Node& node = fleet.nodes[id];
        switch (random.Below(7)) {
          case 0:
          case 1:
            fleet.WriteTable({"roster", "s" + std::to_string(step)},
                             random.Below(5) == 0 ? -1 : step);
            break;
          case 2:
            if (node.core == nullptr) {
              fleet.Boot(id);
            } else {
              fleet.Crash(id, random.Below(2) == 0);
            }
            break;
          case 3:
            fleet.store.mode = static_cast<FakeStore::Mode>(random.Below(3));
            break;
          case 4:
            if (node.core != nullptr) {
              fleet.Pause(id, !node.paused);
            }
            break;
          case 5:
            fleet.network.drop = random.Unit() * 0.2;
            fleet.network.duplicate = random.Unit() * 0.2;
            fleet.network.jitter = Milliseconds(1 + random.Below(300));
            fleet.network.reorder = random.Below(2) == 0;
            break;
          default:
            fleet.store.delay = Milliseconds(1 + random.Below(2'000));
        }
        fleet.Run(Milliseconds(random.Below(4'000)));
      }
      fleet.store.mode = FakeStore::Mode::kUp;
      fleet.store.delay = Milliseconds(2);
      fleet.network.drop = 0;
      fleet.network.reorder = false;
      for (auto& [id, node] : fleet.nodes) {
        fleet.Pause(id, false);
        if (node.core == nullptr) {
          fleet.Boot(id);
        }
      }
      const TableVersion last = fleet.WriteTable({"roster", "last"}, 99);
      cr_assert(fleet.RunUntil(60 * kSecond,
                               [&] {
                                 return fleet.AllHaveVersion(last) &&
                                        fleet.AllHaveNodes(9);
                               }),
                "seed %lu baseline %d", seed, baseline);
      for (const auto& [id, node] : fleet.nodes) {
        results.push_back(node.core->table()->rows());
        cr_assert(results.back() == results.front(), "seed %lu", seed);
      }
    }
  }
}

}  // namespace dragonflytack
