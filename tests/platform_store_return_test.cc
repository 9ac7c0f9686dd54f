#include <algorithm>
#include <string>
#include <vector>

#include <criterion/criterion.h>

#include "core_fleet.h"
#include "distribution/seed_list.h"

namespace dragonflytack {

namespace {

constexpr Milliseconds kSecond{1'000};

// A fleet of nine nodes in three data centres, with version 9 in force, and the
// copy of the store that has version 5. Later operator versions may be lower
// than the number of writes.
struct ReturnFixture {
  explicit ReturnFixture(uint64_t seed, bool prefetches) : fleet(seed) {
    fleet.store.prefetches_objects = prefetches;
    fleet.store.is_table_foreign = true;
    fleet.StartMany({"north1", "north2", "south1"}, 3);
    cr_assert(
        fleet.RunUntil(30 * kSecond, [&] { return fleet.AllHaveNodes(9); }),
        "seed %lu", seed);
    fleet.WriteTableVersion(5, {"roster"});
    cr_assert(
        fleet.RunUntil(6 * kSecond, [&] { return fleet.AllHaveVersion(5); }));
    copy = fleet.store.MakeCopy();
    fleet.WriteTableVersion(9, {"roster", "booking"});
    cr_assert(
        fleet.RunUntil(6 * kSecond, [&] { return fleet.AllHaveVersion(9); }));
  }

  // The store is away for a moment and comes back from the copy.
  void ReturnFromCopy(Milliseconds away) {
    fleet.store.mode = FakeStore::Mode::kUnreachable;
    fleet.Run(away);
    fleet.store.ReturnFrom(copy);
    fleet.store.mode = FakeStore::Mode::kUp;
  }

  CoreFleet fleet;
  FakeStore::Copy copy;
};

}  // namespace

// Guards against a fleet that stays at an old table when the store has come
// back from an older copy, also on a node that was cut off meanwhile.
Test(platform_store_return, newest_version_is_in_force_on_all_nodes) {
  for (const uint64_t seed : {1, 2, 3}) {
    for (const bool prefetches : {false, true}) {
      ReturnFixture fixture(seed, prefetches);
      CoreFleet& fleet = fixture.fleet;
      const HostPort cut_off = fleet.nodes["south1-1"].host;
      fleet.network.is_partitioned = [&](const HostPort& a, const HostPort& b) {
        return (a == cut_off) != (b == cut_off);
      };
      fixture.ReturnFromCopy(2 * kSecond);
      fleet.Run(kSecond);
      cr_expect(fleet.AllHaveVersion(9), "seed %lu", seed);
      fleet.WriteTableVersion(9, {"roster", "booking"});
      fleet.Run(kSecond);
      fleet.WriteTableVersion(13, {"roster"});
      fleet.Run(kSecond);
      fleet.network.is_partitioned = [](const HostPort&, const HostPort&) {
        return false;
      };
      cr_expect(
          fleet.RunUntil(5 * kSecond, [&] { return fleet.AllHaveVersion(13); }),
          "seed %lu", seed);
    }
  }
}

// Guards against a second return that finds the nodes in the middle of the
// first one.
Test(platform_store_return, two_returns_in_short_sequence) {
  for (const uint64_t seed : {1, 2, 3}) {
    ReturnFixture fixture(seed, true);
    CoreFleet& fleet = fixture.fleet;
    fixture.ReturnFromCopy(kSecond);
    fleet.Run(Milliseconds(300));
    fleet.WriteTableVersion(11, {"roster"});
    fleet.Run(Milliseconds(300));
    fixture.ReturnFromCopy(kSecond);
    fleet.Run(Milliseconds(300));
    fleet.WriteTableVersion(12, {"booking"});
    cr_expect(
        fleet.RunUntil(6 * kSecond, [&] { return fleet.AllHaveVersion(12); }),
        "seed %lu", seed);
  }
}

// Guards against a node that starts while the store has an older copy and puts
// that copy in force, although its peers have a newer version.
Test(platform_store_return,
     node_that_starts_on_the_older_copy_waits_for_its_peers) {
  for (const uint64_t seed : {1, 2, 3}) {
    for (const bool prefetches : {false, true}) {
      ReturnFixture fixture(seed, prefetches);
      CoreFleet& fleet = fixture.fleet;
      fixture.ReturnFromCopy(2 * kSecond);
      CoreFleet::Node& node = fleet.Start("late", "north1");
      cr_assert(
          fleet.RunUntil(6 * kSecond, [&] { return node.routes != nullptr; }),
          "seed %lu", seed);
      cr_expect(node.version() == 9,
                "seed %lu, prefetches %d: version %lu is in force first", seed,
                prefetches, node.version());
    }
  }
}

// Guards against a node that starts while the store is away, finds no peer
// until the store has come back, and puts the older copy in force by then.
Test(platform_store_return, node_that_starts_while_the_store_is_away) {
  for (const uint64_t seed : {1, 2, 3, 4, 5}) {
    for (const int away_ms : {500, 1000, 2000, 3000}) {
      ReturnFixture fixture(seed, true);
      CoreFleet& fleet = fixture.fleet;
      fleet.store.mode = FakeStore::Mode::kUnreachable;
      CoreFleet::Node& node = fleet.Start("late", "north1");
      fixture.ReturnFromCopy(Milliseconds(away_ms));
      cr_assert(
          fleet.RunUntil(6 * kSecond, [&] { return node.routes != nullptr; }),
          "seed %lu", seed);
      cr_expect(node.version() == 9,
                "seed %lu, away for %d ms: version %lu is in force first", seed,
                away_ms, node.version());
    }
  }
}

// Guards against a version that comes again with another content and that
// nobody notices: at the store, on a node that starts with it, and on its
// peers.
Test(platform_store_return, other_content_of_a_version_is_reported) {
  for (const uint64_t seed : {1, 2, 3}) {
    ReturnFixture fixture(seed, true);
    CoreFleet& fleet = fixture.fleet;
    const uint64_t first = fleet.nodes["south1-1"].core->Status().table_digest;
    fixture.ReturnFromCopy(2 * kSecond);
    const int64_t returned_ms = fleet.clock.WallMillis();
    fleet.WriteTableVersion(9, {"roster", "payout"});
    fleet.Run(kSecond);
    // The designated watchers learn of the store's content with the response to
    // their watch, and so does a standby watcher that watched before they were
    // served again.
    fleet.Run(31 * kSecond);
    for (const auto& [id, node] : fleet.nodes) {
      const DistributionStatus status = node.core->Status();
      const bool reports = status.ambiguous_version == 9;
      cr_expect_eq(reports, status.last_store_contact_ms > returned_ms,
                   "seed %lu: %s", seed, id.c_str());
      cr_expect(reports || !status.designated_watcher, "seed %lu: %s", seed,
                id.c_str());
      cr_expect(status.version == 9 && status.table_digest == first, "%s",
                id.c_str());
      cr_expect_leq(status.differing_contents, 1, "%s", id.c_str());
    }
    // A node that starts takes the content of the store, if that is the first
    // one that it gets, and reports that of its peers.
    CoreFleet::Node& late = fleet.Start("late", "north1");
    cr_assert(
        fleet.RunUntil(6 * kSecond, [&] { return late.routes != nullptr; }),
        "seed %lu", seed);
    fleet.Run(2 * kSecond);
    cr_expect(late.core->Status().ambiguous_version == 9, "seed %lu", seed);
    fleet.WriteTableVersion(12, {"roster", "payout"});
    cr_expect(
        fleet.RunUntil(6 * kSecond, [&] { return fleet.AllHaveVersion(12); }),
        "seed %lu", seed);
    const uint64_t last = late.core->Status().table_digest;
    for (const auto& [id, node] : fleet.nodes) {
      cr_expect(node.core->Status().table_digest == last, "%s", id.c_str());
    }
  }
}

// Guards against a starting node that puts the older copy in force although
// another starting node holds the version that the copy lacks.
Test(platform_store_return, version_that_only_a_starting_node_holds_counts) {
  for (const uint64_t seed : {1, 2, 3}) {
    ReturnFixture fixture(seed, true);
    CoreFleet& fleet = fixture.fleet;
    std::vector<NodeId> ids;
    for (const auto& [id, node] : fleet.nodes) {
      ids.push_back(id);
    }
    for (size_t i = 0; i + 1 < ids.size(); ++i) {
      fleet.Crash(ids[i]);
    }
    // A peer that does not answer keeps the reader from putting the table in
    // force as soon as it has read it.
    fleet.Pause(ids.back(), true);
    CoreFleet::Node& reader = fleet.nodes[ids[0]];
    reader.settings.seeds = {fleet.nodes[ids.back()].host};
    fleet.Boot(ids[0]);
    cr_assert(fleet.RunUntil(kSecond,
                             [&] { return reader.core->Status().held == 9; }),
              "seed %lu", seed);
    // The copy lists no other node, so that the late one waits for no other.
    SeedList seeds;
    seeds.data_centres["north1"] = {"north", {reader.host}};
    fixture.copy.objects["seeds"].value = seeds.ToJson();
    fleet.store.ReturnFrom(fixture.copy);
    CoreFleet::Node& late = fleet.nodes[ids[1]];
    fleet.Boot(ids[1]);
    // Checks that the version does not fall.
    cr_assert(
        fleet.RunUntil(6 * kSecond, [&] { return late.routes != nullptr; }),
        "seed %lu", seed);
    cr_expect(late.version() == 9, "seed %lu: version %lu", seed,
              late.version());
  }
}

// Guards against a starting node that reads the table in each tick while the
// store lacks the version that it reported.
Test(platform_store_return, joining_node_backs_off_from_a_lost_version) {
  CoreFleet fleet(1);
  fleet.store.is_table_foreign = true;
  fleet.WriteTableVersion(5, {"roster"});
  const FakeStore::Copy copy = fleet.store.MakeCopy();
  fleet.WriteTableVersion(11, {"roster"});
  fleet.Start("alone", "north1");
  cr_assert(fleet.RunUntil(
      2 * kSecond, [&] { return fleet.store.calls["watch table"] > 0; }));
  fleet.Run(Milliseconds(10));
  fleet.store.ReturnFrom(copy);
  fleet.store.calls.clear();
  fleet.Run(10 * kSecond);
  cr_expect_leq(fleet.store.calls["get table"], 4 + 10, "%d",
                fleet.store.calls["get table"]);
}

// Guards against a rolling restart during a return, after which the nodes have
// an older version in force than before.
Test(platform_store_return, rolling_restart_keeps_the_version) {
  for (const uint64_t seed : {1, 2, 3}) {
    ReturnFixture fixture(seed, true);
    CoreFleet& fleet = fixture.fleet;
    fixture.ReturnFromCopy(2 * kSecond);
    std::vector<NodeId> ids;
    for (const auto& [id, node] : fleet.nodes) {
      ids.push_back(id);
    }
    for (const NodeId& id : ids) {
      fleet.Crash(id);
      fleet.Run(Milliseconds(200));
      fleet.Boot(id);
      cr_assert(fleet.RunUntil(6 * kSecond,
                               [&] { return fleet.nodes[id].version() != 0; }),
                "seed %lu: %s", seed, id.c_str());
      cr_assert_eq(fleet.nodes[id].version(), 9, "seed %lu: %s", seed,
                   id.c_str());
    }
    fleet.WriteTableVersion(10, {"roster"});
    cr_expect(
        fleet.RunUntil(6 * kSecond, [&] { return fleet.AllHaveVersion(10); }),
        "seed %lu", seed);
  }
}

// Guards against nodes that form a mesh of their own because the copy lacks the
// list of seeds, and against designated watchers that all write it at once.
Test(platform_store_return, seed_list_is_written_again) {
  for (const uint64_t seed : {1, 2, 3}) {
    ReturnFixture fixture(seed, true);
    CoreFleet& fleet = fixture.fleet;
    fixture.copy.objects.erase("seeds");
    fixture.ReturnFromCopy(2 * kSecond);
    fleet.store.calls.clear();
    const auto listed = [&] {
      Failure reason;
      const std::optional<SeedList> seeds =
          SeedList::Parse(fleet.store.Read("seeds").value, &reason);
      return seeds ? seeds->data_centres.size() : 0;
    };
    cr_expect(fleet.RunUntil(6 * kSecond, [&] { return listed() == 3; }),
              "seed %lu: %zu data centres are listed", seed, listed());
    fleet.Start("late", "north1");
    cr_expect(
        fleet.RunUntil(10 * kSecond, [&] { return fleet.AllHaveNodes(10); }),
        "seed %lu", seed);
    // Two designated watchers in each of three data centres read the list, and
    // read it again after a conflict. The new node reads it while it is alone.
    cr_expect_leq(fleet.store.calls["get seeds"], 24, "seed %lu: %d", seed,
                  fleet.store.calls["get seeds"]);
    cr_expect_leq(fleet.store.calls["put seeds"], 12, "seed %lu: %d", seed,
                  fleet.store.calls["put seeds"]);
  }
}

// Guards against a list of seeds that stays lost for a minute because the store
// rejects the first writes after the return, for example by its rate limit.
Test(platform_store_return, rejected_seed_list_is_written_soon) {
  ReturnFixture fixture(1, true);
  CoreFleet& fleet = fixture.fleet;
  fixture.copy.objects.erase("seeds");
  fleet.store.rejects_writes = true;
  fixture.ReturnFromCopy(2 * kSecond);
  fleet.store.calls.clear();
  fleet.Run(3 * kSecond);
  cr_assert_gt(fleet.store.calls["put seeds"], 0);
  fleet.store.rejects_writes = false;
  cr_expect(
      fleet.RunUntil(10 * kSecond,
                     [&] { return fleet.store.Read("seeds").version != 0; }),
      "the list is missing 10 s after the store takes writes again");
}

// Guards against nodes that restart together after a return and put the older
// copy in force, because their first peers have no table either.
Test(platform_store_return, nodes_that_restart_together_wait_for_the_others) {
  for (const uint64_t seed : {1, 2, 3, 4, 5}) {
    ReturnFixture fixture(seed, true);
    CoreFleet& fleet = fixture.fleet;
    fixture.ReturnFromCopy(2 * kSecond);
    const std::vector<NodeId> ids = {"north1-0", "north1-1", "north1-2",
                                     "north2-0", "north2-1", "north2-2"};
    for (const NodeId& id : ids) {
      fleet.Crash(id);
    }
    fleet.Run(Milliseconds(500));
    for (const NodeId& id : ids) {
      fleet.Boot(id);
    }
    cr_expect(
        fleet.RunUntil(10 * kSecond, [&] { return fleet.AllHaveVersion(9); }),
        "seed %lu", seed);
  }
}

// Guards against a storm of reads for a version that the store has reported and
// lost before any node had read it.
Test(platform_store_return, lost_version_causes_no_storm_of_reads) {
  for (const uint64_t seed : {1, 2, 3}) {
    CoreFleet fleet(seed);
    fleet.store.is_table_foreign = true;
    // Nodes outside the region of the store read a new version after a delay.
    fleet.StartMany({"south1"}, 4);
    cr_assert(
        fleet.RunUntil(30 * kSecond, [&] { return fleet.AllHaveNodes(4); }));
    fleet.WriteTableVersion(5, {"roster"});
    cr_assert(
        fleet.RunUntil(6 * kSecond, [&] { return fleet.AllHaveVersion(5); }));
    fleet.Run(2 * kSecond);
    const FakeStore::Copy copy = fleet.store.MakeCopy();
    fleet.WriteTableVersion(11, {"roster"});
    fleet.Run(Milliseconds(100));
    fleet.store.ReturnFrom(copy);
    fleet.store.calls.clear();
    fleet.Run(10 * kSecond);
    // Two designated watchers read every 1 to 2 s after the first four times.
    cr_expect_leq(fleet.store.calls["get table"], 2 * (4 + 10), "seed %lu: %d",
                  seed, fleet.store.calls["get table"]);
    cr_expect(fleet.AllHaveVersion(5), "seed %lu", seed);
    fleet.WriteTableVersion(11, {"roster"});
    cr_expect(
        fleet.RunUntil(6 * kSecond, [&] { return fleet.AllHaveVersion(11); }),
        "seed %lu", seed);
  }
}

}  // namespace dragonflytack
