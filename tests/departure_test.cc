// Departures that a node has acknowledged and that outlive its process.

#include <algorithm>
#include <string>
#include <vector>

#include <criterion/criterion.h>

#include "core_fleet.h"
#include "daemon/target_life_cycle.h"
#include "distribution/message_codec.h"
#include "dragonflytack/base/manual_clock.h"
#include "net/record_json.h"

namespace dragonflytack {

namespace {

constexpr Milliseconds kAnnouncementTimeout{6'000};

LocalTarget Run(const std::string& instance,
                int64_t started_ms,
                int64_t sequence,
                TargetState state) {
  LocalTarget target{"roster", "127.0.0.1", 8080, state, 12};
  target.instance = instance;
  target.started_ms = started_ms;
  target.sequence = sequence;
  return target;
}

// The life cycle of a target on a simulated clock.
struct LifeCycleFixture {
  bool Announce(const std::string& instance,
                int64_t started_ms,
                int64_t sequence,
                TargetState announced) {
    return life_cycle.HandleAnnouncement(
        Run(instance, started_ms, sequence, announced));
  }
  TargetState state() const { return life_cycle.target().state; }

  ManualClock clock;
  TimerService timers{&clock};
  TargetLifeCycle life_cycle{&timers, kAnnouncementTimeout,
                             [](const LocalTarget&) {}};
};

// Starts a fleet in which the first node has a ready target, whose departure
// any node may have to keep.
void StartFleet(CoreFleet* fleet) {
  fleet->WriteTable({"roster"});
  fleet->StartMany({"north1", "north2", "south1"}, 2);
  cr_assert(fleet->RunUntil(Milliseconds(30'000),
                            [&] { return fleet->AllHaveNodes(6); }));
  fleet->Run(Milliseconds(5'000));
}

// Starts a node again and returns the departure that its peers restore, empty
// if they do not within `limit`.
TargetRun RestartAndAwaitDeparture(CoreFleet* fleet,
                                   const NodeId& id,
                                   Milliseconds limit) {
  TargetRun restored;
  fleet->Boot(id);
  fleet->nodes[id].core->set_on_departure(
      [&restored](const TargetRun& run) { restored = run; });
  fleet->RunUntil(limit, [&] { return !restored.empty(); });
  fleet->nodes[id].core->set_on_departure({});
  return restored;
}

}  // namespace

// Guards against calls to a target that a restarted node takes for ready
// because of a late announcement, and against an endless refusal of the target
// that starts after it.
Test(departure, restored_run_never_serves) {
  LifeCycleFixture fixture;
  fixture.life_cycle.RestoreDeparture(TargetRun::Make("i-1", 1'000));
  for (int sequence = 1; sequence <= 9; ++sequence) {
    cr_expect(!fixture.Announce("i-1", 1'000, sequence, TargetState::kReady));
    fixture.clock.Advance(Milliseconds(1'500));
  }
  cr_expect(fixture.state() == TargetState::kStarting);
  // It may repeat that it leaves.
  cr_expect(fixture.Announce("i-1", 1'000, 20, TargetState::kDraining));
  cr_expect(fixture.state() == TargetState::kDraining);
  cr_expect(fixture.Announce("i-1", 1'000, 21, TargetState::kReady));
  cr_expect(fixture.state() == TargetState::kDraining);
  cr_expect(fixture.Announce("i-1", 2'000, 1, TargetState::kReady));
  cr_expect(fixture.state() == TargetState::kReady);
}

// Guards against a late announcement that precedes the report of the peers: the
// target must stop serving as soon as its departure is known.
Test(departure, run_that_serves_drains_when_its_departure_is_known) {
  LifeCycleFixture fixture;
  cr_assert(fixture.Announce("i-1", 1'000, 5, TargetState::kReady));
  fixture.life_cycle.RestoreDeparture(TargetRun::Make("i-1", 1'000));
  cr_expect(fixture.state() == TargetState::kDraining);
  fixture.Announce("i-1", 1'000, 6, TargetState::kReady);
  cr_expect(fixture.state() == TargetState::kDraining);
}

// Guards against a late announcement of a run before the one that departed, and
// against a target that never serves again after its clock was set back.
Test(departure, run_before_the_restored_one_has_to_be_confirmed) {
  for (const bool is_first : {false, true}) {
    LifeCycleFixture fixture;
    if (is_first) {
      cr_assert(fixture.Announce("i-0", 500, 7, TargetState::kReady));
    }
    fixture.life_cycle.RestoreDeparture(TargetRun::Make("i-1", 1'000));
    cr_expect(fixture.state() == TargetState::kStarting);
    for (int i = 0; i < 4; ++i) {
      cr_expect(!fixture.Announce("i-0", 500, 8 + i, TargetState::kReady));
      fixture.clock.Advance(Milliseconds(1'500));
    }
    cr_expect(fixture.Announce("i-0", 500, 12, TargetState::kReady));
    cr_expect(fixture.state() == TargetState::kReady);
    cr_expect(!fixture.Announce("i-1", 1'000, 99, TargetState::kReady));
  }
}

// Guards against a late announcement that brings a target calls before the
// process knows which run has departed, and against a target that never serves
// while neither the store nor a peer responds.
Test(departure, first_run_has_to_be_confirmed_while_departures_are_unknown) {
  LifeCycleFixture fixture;
  fixture.life_cycle.set_knows_departures(false);
  for (int sequence = 7; sequence < 11; ++sequence) {
    cr_expect(!fixture.Announce("i-1", 1'000, sequence, TargetState::kReady));
    cr_expect(fixture.state() == TargetState::kStarting);
    // The same announcement once more is no sign of life.
    cr_expect(!fixture.Announce("i-1", 1'000, sequence, TargetState::kReady));
    fixture.clock.Advance(Milliseconds(1'500));
  }
  cr_expect(fixture.Announce("i-1", 1'000, 11, TargetState::kReady));
  cr_expect(fixture.state() == TargetState::kReady);
  // The departure holds also if it is known only then.
  fixture.life_cycle.RestoreDeparture(TargetRun::Make("i-1", 1'000));
  cr_expect(fixture.state() == TargetState::kDraining);

  LifeCycleFixture leaving;
  leaving.life_cycle.set_knows_departures(false);
  cr_expect(leaving.Announce("i-1", 1'000, 7, TargetState::kDraining));
  cr_expect(!leaving.Announce("i-1", 1'000, 6, TargetState::kReady));
  cr_expect(leaving.state() == TargetState::kDraining);

  LifeCycleFixture unnamed;
  unnamed.life_cycle.set_knows_departures(false);
  cr_expect(unnamed.Announce("", 0, 0, TargetState::kReady));
}

// Guards against an older departure, from a peer that was cut off, that hides a
// newer one.
Test(departure, newest_one_holds) {
  LifeCycleFixture fixture;
  fixture.life_cycle.RestoreDeparture(TargetRun::Make("i-2", 2'000));
  fixture.life_cycle.RestoreDeparture(TargetRun::Make("i-1", 1'000));
  cr_expect(!fixture.Announce("i-2", 2'000, 1, TargetState::kReady));
  cr_expect(fixture.life_cycle.departure() == TargetRun::Make("i-2", 2'000));
}

// Guards against a departure that is lost on the way between nodes.
Test(departure, messages_carry_it) {
  NodeRecord record;
  record.id = "n";
  record.region = "north";
  record.data_centre = "north1";
  record.address = "127.0.0.1";
  for (const int64_t started : {int64_t{0}, int64_t{1'000}, INT64_MAX}) {
    record.departure = TargetRun::Make("i-1", started);
    RecordsMessage records;
    records.records = {RecordUpdate{record}};
    HelloMessage hello;
    hello.known_departure = record.departure;
    for (const Message& message : {Message(records), Message(hello)}) {
      Failure reason;
      cr_expect(MessageCodec::Decode(MessageCodec::Encode(message), &reason) ==
                    message,
                "%s", reason.ToString().c_str());
    }
    Failure reason;
    cr_expect(RecordFromJson(RecordToJson(record), &reason) == record, "%s",
              reason.ToString().c_str());
  }
}

// Guards against a departure that no peer keeps when the process ends right
// after the acknowledgement, when the node and other nodes end together, or
// when the node ends twice before it knows the departure again.
Test(departure, peers_restore_it_after_a_restart) {
  const std::vector<std::vector<NodeId>> crashes = {
      {},
      {"north1-1"},
      {"north1-1", "north2-0", "north2-1"},
      {"north1-1", "north2-0", "south1-0", "south1-1"}};
  for (const uint64_t seed : {1, 2, 3}) {
    for (const std::vector<NodeId>& others : crashes) {
      for (const bool is_twice : {false, true}) {
        CoreFleet fleet(seed);
        StartFleet(&fleet);
        const NodeId id = "north1-0";
        const TargetRun run = TargetRun::Make("i-1", 1'000);
        fleet.nodes[id].core->SetDeparture(run);
        fleet.Run(Milliseconds(5));
        fleet.Crash(id);
        fleet.Run(Milliseconds(200));
        for (const NodeId& other : others) {
          fleet.Crash(other);
        }
        if (is_twice) {
          fleet.Boot(id);
          fleet.Run(Milliseconds(30));
          fleet.Crash(id);
        }
        fleet.Run(Milliseconds(300));
        for (const NodeId& other : others) {
          fleet.Boot(other);
        }
        cr_expect(
            RestartAndAwaitDeparture(&fleet, id, Milliseconds(3'000)) == run,
            "seed %lu, %zu other nodes, twice: %d", seed, others.size(),
            is_twice);
        cr_expect(fleet.nodes[id].core->self().departure == run);
      }
    }
  }
}

// Guards against a departure that is forgotten when all hosts lose power.
Test(departure, outlives_the_end_of_all_processes) {
  CoreFleet fleet(1);
  StartFleet(&fleet);
  const NodeId id = "north1-0";
  const TargetRun run = TargetRun::Make("i-1", 1'000);
  fleet.nodes[id].core->SetDeparture(run);
  fleet.Run(Milliseconds(500));
  for (const auto& [name, node] : fleet.nodes) {
    fleet.Crash(name, /*is_power_loss=*/true);
  }
  fleet.Run(Milliseconds(300));
  for (const auto& [name, node] : fleet.nodes) {
    if (name != id) {
      fleet.Boot(name);
    }
  }
  cr_expect(RestartAndAwaitDeparture(&fleet, id, Milliseconds(3'000)) == run);
}

// Guards against a node that puts a table in force, so that it may send calls
// to its target, before a peer has reported the departure.
Test(departure, peers_restore_it_before_calls_are_served) {
  for (const uint64_t seed : {1, 2, 3, 4, 5}) {
    CoreFleet fleet(seed);
    StartFleet(&fleet);
    const NodeId id = "north1-0";
    fleet.nodes[id].core->SetDeparture(TargetRun::Make("i-1", 1'000));
    fleet.Run(Milliseconds(100));
    fleet.Crash(id);
    fleet.Run(Milliseconds(300));
    bool is_restored = false;
    fleet.Boot(id);
    CoreFleet::Node& node = fleet.nodes[id];
    node.core->set_on_departure([&](const TargetRun&) { is_restored = true; });
    cr_assert(fleet.RunUntil(Milliseconds(10'000), [&] {
      return node.core->table() != nullptr || is_restored;
    }));
    cr_expect(is_restored, "seed %lu", seed);
    node.core->set_on_departure({});
  }
}

}  // namespace dragonflytack
