#include <criterion/criterion.h>

#include "core_fleet.h"
#include "distribution/overlay.h"
#include "distribution/registry_sync.h"
#include "registry/registry.h"

namespace dragonflytack {

namespace {

constexpr Milliseconds kSecond{1'000};

}  // namespace

// Guards against a delayed record of an earlier incarnation that replaces the
// current one, and against digests that depend on the order of arrival.
Test(membership, merge_by_incarnation_then_sequence) {
  const std::pair<uint64_t, uint64_t> revisions[] = {
      {5, 9}, {6, 1}, {6, 2}, {7, 1}};
  for (const bool rising : {false, true}) {
    ManualClock clock;
    Registry registry(&clock);
    for (size_t i = 0; i < 4; ++i) {
      NodeRecord record{"a",
                        revisions[rising ? i : 3 - i].first,
                        revisions[rising ? i : 3 - i].second,
                        "r",
                        "d",
                        "1.2.3.4"};
      const MergeOutcome expected =
          rising || i == 0 ? MergeOutcome::kNewer : MergeOutcome::kOlder;
      cr_assert(registry.Merge(record, Liveness::kAlive, 0) == expected);
      if (i == 0 || rising) {
        cr_assert(registry.Merge(record, Liveness::kAlive, 0) ==
                  MergeOutcome::kSame);
      }
    }
    cr_assert_eq(registry.Find("a")->incarnation, 7);
    Registry fresh(&clock);
    fresh.Merge(registry.Find("a")->ToRecord(), Liveness::kAlive, 0);
    cr_assert(fresh.digests().whole() == registry.digests().whole());
    // A suspicion of an earlier revision does not apply to the current one.
    cr_assert_not(registry.SetLiveness("a", 6, 2, Liveness::kDead));
    clock.Advance(Milliseconds(Registry::kRetentionMs));
    registry.Expire();
    cr_assert_neq(registry.Find("a"), nullptr);
    registry.SetLiveness("a", 7, 1, Liveness::kDead);
    clock.Advance(Milliseconds(Registry::kRetentionMs));
    registry.Expire();
    cr_assert_eq(registry.Find("a"), nullptr);
    cr_assert(registry.digests().whole() == RegistryDigest{});
  }
}

// Guards against a record that a link with a full queue does not get until the
// next change of any node.
Test(membership, record_is_sent_once_the_queue_of_the_link_has_drained) {
  CoreFleet fleet;
  fleet.WriteTable({"roster"});
  fleet.StartMany({"north1"}, 2);
  fleet.Run(5 * kSecond);
  cr_assert(fleet.AllHaveNodes(2));
  fleet.network.queued_bytes = RegistrySync::kMaxQueuedBytes + 1;
  fleet.nodes["north1-0"].core->SetTarget("roster", TargetState::kReady, 3);
  fleet.Run(Milliseconds(100));
  fleet.network.queued_bytes = 0;
  // Less than the interval of the heartbeats, whose digests would repair it.
  cr_assert(fleet.RunUntil(Milliseconds(300), [&] {
    const auto& routes = fleet.nodes["north1-1"].routes;
    return !routes->Find("roster")->endpoints.empty();
  }));
}

// Guards against a ring that leaves nodes without links.
Test(membership, successor_offsets_by_ring_size) {
  cr_assert(Overlay::SuccessorOffsets(1).empty());
  cr_assert(Overlay::SuccessorOffsets(2) == std::set<size_t>{1});
  cr_assert((Overlay::SuccessorOffsets(3) == std::set<size_t>{1, 2}));
  cr_assert(
      (Overlay::SuccessorOffsets(480) == std::set<size_t>{1, 2, 22, 240}));
}

// Guards against a status whose counts of alive, suspected and dead nodes
// differ from the registry.
Test(membership, status_counts_nodes_by_liveness) {
  CoreFleet fleet;
  fleet.StartMany({"north1"}, 5);
  cr_assert(
      fleet.RunUntil(30 * kSecond, [&] { return fleet.AllHaveNodes(5); }));
  fleet.Run(10 * kSecond);
  fleet.Crash("north1-1", true);
  DistributionCore* const core = fleet.nodes["north1-0"].core.get();
  cr_assert(fleet.RunUntil(10 * kSecond,
                           [&] { return core->Status().suspect_nodes == 1; }));
  cr_assert_eq(core->Status().alive_nodes, 4);
  cr_assert_eq(core->Status().dead_nodes, 0);
  cr_assert(fleet.RunUntil(10 * kSecond,
                           [&] { return core->Status().dead_nodes == 1; }));
  cr_assert_eq(core->Status().alive_nodes, 4);
  cr_assert_eq(core->Status().suspect_nodes, 0);
  cr_assert_eq(core->Status().nodes, 5);
}

// Guards against a dead node that keeps getting calls, and against declaring
// the nodes of a whole data centre dead, which may only be cut off.
Test(membership, crashed_node_is_dead_but_lost_data_centre_is_not) {
  CoreFleet fleet;
  fleet.StartMany({"north1", "south1"}, 5);
  cr_assert(
      fleet.RunUntil(30 * kSecond, [&] { return fleet.AllHaveNodes(10); }));
  fleet.Run(10 * kSecond);
  fleet.Crash("north1-1", true);
  cr_assert(fleet.RunUntil(
      10 * kSecond, [&] { return fleet.AllHaveNodes(1, Liveness::kDead); }));
  for (int i = 0; i < 5; ++i) {
    fleet.Crash("south1-" + std::to_string(i), true);
  }
  fleet.Run(40 * kSecond);
  cr_assert(fleet.AllHaveNodes(1, Liveness::kDead));
}

// Guards against live nodes that are declared dead because many nodes of a data
// centre pause at the same time.
Test(membership, common_pause_declares_no_live_node_dead) {
  CoreFleet fleet;
  fleet.StartMany({"north1"}, 20);
  cr_assert(
      fleet.RunUntil(60 * kSecond, [&] { return fleet.AllHaveNodes(20); }));
  fleet.Run(10 * kSecond);
  for (int i = 0; i < 7; ++i) {
    fleet.Pause("north1-" + std::to_string(i), true);
  }
  fleet.Crash("north1-19", true);
  fleet.Run(9 * kSecond);
  cr_assert_eq(fleet.nodes["north1-10"].core->Status().active_suspicions, 8);
  for (int i = 0; i < 7; ++i) {
    fleet.Pause("north1-" + std::to_string(i), false);
  }
  cr_assert(fleet.RunUntil(20 * kSecond, [&] {
    for (const auto& [id, node] : fleet.nodes) {
      for (const Endpoint& known : node.core == nullptr
                                       ? std::vector<Endpoint>()
                                       : node.core->KnownNodes()) {
        cr_assert(
            known.liveness != Liveness::kDead || known.record.id == "north1-19",
            "%s considers %s dead", id.c_str(), known.record.id.c_str());
      }
    }
    return fleet.AllHaveNodes(19) && fleet.AllHaveNodes(1, Liveness::kDead);
  }));
}

// Guards against a node that, after a pause, considers the rest of the fleet
// dead or is still considered dead by it.
Test(membership, paused_node_rejoins_without_false_deaths) {
  CoreFleet fleet;
  fleet.StartMany({"north1"}, 6);
  cr_assert(
      fleet.RunUntil(30 * kSecond, [&] { return fleet.AllHaveNodes(6); }));
  fleet.Run(10 * kSecond);
  fleet.Pause("north1-3", true);
  fleet.Run(30 * kSecond);
  cr_assert(fleet.nodes["north1-0"].routes->nodes->at("north1-3").liveness ==
            Liveness::kDead);
  fleet.Pause("north1-3", false);
  fleet.Run(Milliseconds(400));
  for (const Endpoint& known : fleet.nodes["north1-3"].core->KnownNodes()) {
    cr_assert(known.liveness != Liveness::kDead);
  }
  cr_assert(
      fleet.RunUntil(15 * kSecond, [&] { return fleet.AllHaveNodes(6); }));
}

// Guards against a connection that is kept although it no longer delivers any
// frame.
Test(membership, unresponsive_link_is_replaced) {
  CoreFleet fleet;
  fleet.StartMany({"north1"}, 4);
  cr_assert(
      fleet.RunUntil(30 * kSecond, [&] { return fleet.AllHaveNodes(4); }));
  fleet.Run(15 * kSecond);
  const auto old_links = fleet.nodes["north1-0"].core->Status().links;
  cr_assert_geq(old_links.size(), 3);
  for (const auto& link : old_links) {
    fleet.network.DropFramesBetween(fleet.nodes["north1-0"].host,
                                    fleet.nodes[link.peer].host);
  }
  fleet.Run(6 * kSecond);
  const auto new_links = fleet.nodes["north1-0"].core->Status().links;
  cr_assert_geq(new_links.size(), 3);
  for (const auto& link : new_links) {
    cr_assert_gt(link.link, old_links.back().link);
    cr_assert_leq(link.time_since_last_frame.count(), 1'100);
  }
  cr_assert(fleet.AllHaveNodes(4));
}

// Guards against full snapshots over slow, billed links after a partition, and
// against records that stay different.
Test(membership, partition_between_regions_is_repaired_by_digest) {
  CoreFleet fleet;
  fleet.StartMany({"north1", "north2", "south1"}, 4);
  cr_assert(
      fleet.RunUntil(60 * kSecond, [&] { return fleet.AllHaveNodes(12); }));
  fleet.Run(20 * kSecond);
  const uint64_t snapshots = fleet.FramesSent("snapshot_request");
  const auto is_south = [&](const HostPort& host) {
    for (int i = 0; i < 4; ++i) {
      if (fleet.nodes["south1-" + std::to_string(i)].host == host) {
        return true;
      }
    }
    return false;
  };
  fleet.network.is_partitioned = [&](const HostPort& a, const HostPort& b) {
    return is_south(a) != is_south(b);
  };
  fleet.Run(30 * kSecond);
  for (const char* id : {"north1-0", "north2-1", "south1-2", "south1-3"}) {
    fleet.nodes[id].core->SetTarget("roster", TargetState::kReady, 7);
  }
  const TableVersion version = fleet.WriteTable({"roster"});
  fleet.Run(10 * kSecond);
  fleet.network.is_partitioned = [](const HostPort&, const HostPort&) {
    return false;
  };
  cr_assert(fleet.RunUntil(6 * kSecond,
                           [&] { return fleet.AllHaveVersion(version); }));
  const auto all_have_four = [&] {
    for (const auto& [id, node] : fleet.nodes) {
      if (node.routes->Find("roster")->endpoints.size() != 4) {
        return false;
      }
    }
    return true;
  };
  cr_assert(fleet.RunUntil(10 * kSecond, all_have_four));
  cr_assert(fleet.AllHaveNodes(12));
  cr_assert_eq(fleet.FramesSent("snapshot_request"), snapshots);
  cr_assert_gt(fleet.FramesSent("bucket_hashes"), 0);
}

// Guards against regions that stay disconnected because both gateways were in a
// data centre that was lost as a whole, whose nodes are not declared dead.
Test(membership, regions_stay_linked_without_their_gateways) {
  int lost_both = 0;
  for (int round = 0; round < 6; ++round) {
    CoreFleet fleet;
    for (const char* name : {"north1", "north2", "south1"}) {
      for (int i = 0; i < 3; ++i) {
        fleet.Start(std::to_string(round * 3 + i) + "." + name, name);
      }
    }
    fleet.WriteTable({"roster"});
    cr_assert(
        fleet.RunUntil(60 * kSecond, [&] { return fleet.AllHaveNodes(9); }));
    fleet.Run(15 * kSecond);
    Registry registry(&fleet.clock);
    for (const auto& [id, node] : fleet.nodes) {
      registry.Merge(node.core->self(), Liveness::kAlive, 0);
    }
    const auto ranks = Overlay::Compute(registry, fleet.nodes.begin()->first)
                           .region_ranks["north"];
    const std::string lost = fleet.nodes[ranks[0]].settings.data_centre;
    lost_both += fleet.nodes[ranks[1]].settings.data_centre == lost ? 1 : 0;
    NodeId survivor;
    for (const auto& [id, node] : fleet.nodes) {
      if (node.settings.data_centre == lost) {
        fleet.Crash(id, true);
      } else if (node.settings.region == "north") {
        survivor = id;
      }
    }
    fleet.Run(20 * kSecond);
    fleet.nodes[survivor].core->SetTarget("roster", TargetState::kReady, 0);
    cr_assert(fleet.RunUntil(2 * kSecond,
                             [&] {
                               return fleet.nodes.rbegin()
                                          ->second.routes->Find("roster")
                                          ->endpoints.size() == 1;
                             }),
              "round %d", round);
  }
  cr_assert_gt(lost_both, 0);
}

// Guards against two halves of a data centre that declared each other dead and
// never reconnect while the store is down.
Test(membership, split_data_centre_reconnects_without_store) {
  CoreFleet fleet;
  fleet.StartMany({"north1"}, 8);
  cr_assert(
      fleet.RunUntil(60 * kSecond, [&] { return fleet.AllHaveNodes(8); }));
  fleet.Run(10 * kSecond);
  fleet.store.mode = FakeStore::Mode::kUnreachable;
  fleet.network.is_partitioned = [](const HostPort& a, const HostPort& b) {
    return a.port % 2 != b.port % 2;
  };
  fleet.Run(40 * kSecond);
  cr_assert(fleet.AllHaveNodes(4, Liveness::kDead));
  fleet.network.is_partitioned = [](const HostPort&, const HostPort&) {
    return false;
  };
  cr_assert(
      fleet.RunUntil(30 * kSecond, [&] { return fleet.AllHaveNodes(8); }));
}

// Guards against a draining node that still gets calls, a target that returns
// to service after its planned stop, and a lost successor.
Test(membership, drain_and_successor_reach_all_nodes) {
  CoreFleet fleet;
  fleet.StartMany({"north1", "south1"}, 4);
  fleet.WriteTable({"payroll"});
  cr_assert(
      fleet.RunUntil(30 * kSecond, [&] { return fleet.AllHaveNodes(8); }));
  DistributionCore* core = fleet.nodes["north1-0"].core.get();
  core->SetTarget("payroll", TargetState::kReady, 0);
  fleet.Run(2 * kSecond);
  core->BeginDrain();
  core->SetTarget("payroll", TargetState::kReady, 0);
  cr_assert(fleet.RunUntil(kSecond, [&] {
    const auto& endpoints =
        fleet.nodes["south1-3"].routes->Find("payroll")->endpoints;
    return endpoints.size() == 1 &&
           endpoints[0].record.state == TargetState::kDraining;
  }));
  const std::pair owner(NodeId("north1-0"), core->self().incarnation);
  core->AnnounceSuccessor("north1-1");
  fleet.nodes["north1-1"].core->AnnounceTakeover(owner.first, owner.second);
  fleet.nodes["north1-2"].core->AnnounceTakeover(owner.first, owner.second);
  fleet.Run(2 * kSecond);
  fleet.Crash("north1-0");
  fleet.Boot("north1-0");
  fleet.Run(10 * kSecond);
  for (const auto& [id, node] : fleet.nodes) {
    cr_assert_eq(node.routes->successors->count(owner), 1, "%s", id.c_str());
    cr_assert_eq(node.routes->successors->at(owner),
                 fleet.nodes["north1-1"].routes->successors->at(owner));
    cr_assert_eq(node.routes->nodes->count("north1-0"), 1);
  }
}

}  // namespace dragonflytack
