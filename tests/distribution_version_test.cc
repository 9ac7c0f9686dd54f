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

// Kinds as they stand in the second byte of a frame.
bool IsKind(const std::string& frame, std::string_view name) {
  return TrafficCounters::kKindNames.at(static_cast<size_t>(frame.at(1))) ==
         name;
}

}  // namespace

// Guards against a restarted node that believes one stale peer (I1): it is cut
// off from all that know the version it had in force, and the store is down.
Test(distribution_version, restart_with_stale_peer_and_store_down) {
  for (const uint64_t seed : {1, 2, 3}) {
    CoreFleet fleet(seed);
    fleet.StartMany({"north1"}, 6);
    cr_assert(
        fleet.RunUntil(30 * kSecond, [&] { return fleet.AllHaveNodes(6); }));
    const TableVersion old_version = fleet.WriteTable({"roster"});
    cr_assert(fleet.RunUntil(
        6 * kSecond, [&] { return fleet.AllHaveVersion(old_version); }));
    // Speakers would read the newer version from the store.
    std::vector<NodeId> plain;
    for (const auto& [id, node] : fleet.nodes) {
      if (!node.core->Status().designated_watcher) {
        plain.push_back(id);
      }
    }
    const HostPort stale = fleet.nodes[plain.at(0)].host;
    const NodeId id = plain.at(1);
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

// Guards against updates that overtake each other in transit, and against
// snapshots whose table and routes are of different versions (I2).
Test(distribution_version, crossed_updates) {
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

// Guards against a version in force on one node only, which its crash would
// lose (6.3), and against a hold that never ends when acknowledgements are
// lost.
Test(distribution_version, hold_until_peers_have_it) {
  CoreFleet fleet;
  fleet.StartMany({"north1", "south1"}, 3);
  cr_assert(
      fleet.RunUntil(30 * kSecond, [&] { return fleet.AllHaveNodes(6); }));
  const TableVersion first = fleet.WriteTable({"roster"});
  cr_assert(
      fleet.RunUntil(6 * kSecond, [&] { return fleet.AllHaveVersion(first); }));
  // No peer can learn the version, except from the store.
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
  // Acknowledgements alone are lost: heartbeats take their place.
  fleet.network.frame_filter = [](const HostPort&, const HostPort&,
                                  const std::string& frame) {
    return !IsKind(frame, "hold");
  };
  cr_assert(fleet.RunUntil(6 * kSecond,
                           [&] { return fleet.AllHaveVersion(second); }));
}

// Guards against nodes that get a change late because both speakers of their
// data centre stand still: their links count as up until 3 s of silence have
// passed, and the change has to be in force 2 s after it was acknowledged.
Test(distribution_version, change_while_both_speakers_stand_still) {
  constexpr Milliseconds kBound{2'000};
  const std::vector<std::string> data_centres = {"north1", "south1", "south2",
                                                 "south3"};
  for (const std::string& still : data_centres) {
    for (const Milliseconds before : {Milliseconds(0), Milliseconds(1'200)}) {
      CoreFleet fleet;
      fleet.StartMany(data_centres, 4);
      cr_assert(
          fleet.RunUntil(30 * kSecond, [&] { return fleet.AllHaveNodes(16); }));
      // Links that only served joining are closed.
      fleet.Run(2 * LinkManager::kUnwantedLinkLifetime);
      const TableVersion first = fleet.WriteTable({"roster"});
      cr_assert(fleet.RunUntil(6 * kSecond,
                               [&] { return fleet.AllHaveVersion(first); }));
      std::vector<NodeId> others;
      for (const auto& [id, node] : fleet.nodes) {
        if (node.settings.data_centre == still) {
          if (node.core->Status().designated_watcher) {
            fleet.Pause(id, true);
          } else {
            others.push_back(id);
          }
        }
      }
      cr_assert_eq(others.size(), 2);
      fleet.Run(before);
      const TableVersion second = fleet.WriteTable({"roster", "booking"});
      fleet.Run(kBound);
      for (const NodeId& id : others) {
        cr_assert_eq(fleet.nodes[id].version(), second,
                     "%s, speakers paused %ld ms before the change", id.c_str(),
                     before.count());
      }
      for (auto& [id, node] : fleet.nodes) {
        fleet.Pause(id, false);
      }
      cr_assert(fleet.RunUntil(6 * kSecond,
                               [&] { return fleet.AllHaveVersion(second); }));
      // The substitutes stop watching once the speakers are heard again.
      fleet.Run(4 * kSecond);
      for (const NodeId& id : others) {
        cr_assert_not(fleet.nodes[id].core->Status().designated_watcher);
      }
    }
  }
}

// Guards against nodes that stand in for the speakers of their data centre
// although these live: each one costs a watch at the store, and one that joins
// would ask the store before its peers had their time.
Test(distribution_version, starting_nodes_are_no_substitutes) {
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

// Guards against a bad version that is applied in part or stops a node (I3),
// and against a restarted node that waits for it for ever.
Test(distribution_version, bad_version_is_refused_whole) {
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

// Guards against a peer's damaged copy that is put in force, or that stops the
// node from ever taking the version.
Test(distribution_version, damaged_delta_and_table_from_a_peer) {
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
  const Message damaged[] = {DeltaMessage{delta},
                             TableMessage{first + 5, 1234, {}},
                             TableMessage{first + 5, 0, bad_rows}};
  for (const Message& message : damaged) {
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

// Guards against a storm on the store during an outage and at its end (6.9),
// and against calls that grow with the number of nodes.
Test(distribution_version, store_outage_and_return_without_storm) {
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
  // 4 speakers, whose retries are 1 to 2 s apart after the first 4.
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

// Guards against a watch left at the store by every starting node, which knows
// only itself and would count as a speaker: 5,300 of them are over the store's
// rate.
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
  size_t most = 0;
  cr_assert(fleet.RunUntil(10 * kSecond, [&] {
    most = std::max(most, fleet.store.waiting_watches());
    return fleet.AllHaveNodes(22);
  }));
  // The two speakers, and two that the newcomers replaced.
  cr_assert_leq(most, 4);
}

// Guards against snapshots that crowd out everything else on a node, and
// against newcomers that never get one.
Test(distribution_version, snapshot_admission) {
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
  size_t most = 0;
  cr_assert(fleet.RunUntil(30 * kSecond, [&] {
    most = std::max(most, fleet.nodes["first"].core->Status().snapshots_served);
    return fleet.AllHaveVersion(1) ||
           fleet.AllHaveVersion(fleet.nodes["first"].version());
  }));
  cr_assert_eq(most, 2);
  cr_assert_gt(fleet.FramesSent("busy"), 0);
}

// Compares the fleet with the naive model in which each node reads the store
// itself, under the same seeded operations and faults. Both must end with the
// store's table on every node; the harness checks that no version ever falls.
Test(distribution_version, differential_against_naive_model, .timeout = 300) {
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
