// Departures in the store: what a process knows when it starts, and when a
// departure may be acknowledged.

#include "distribution/departure_store.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <criterion/criterion.h>

#include "core_fleet.h"
#include "dragonflytack/base/random.h"
#include "net/record_json.h"

namespace dragonflytack {

namespace {

constexpr char kId[] = "north1-0";
constexpr char kKey[] = "departures/north1-0";

const TargetRun kRun = TargetRun::Make("i-1", 1'000);
const TargetRun kLaterRun = TargetRun::Make("i-2", 2'000);

// A node whose target has served, without peers.
struct SingleNode {
  explicit SingleNode(uint64_t seed = 1) : fleet(seed) {
    fleet.WriteTable({"roster"});
    fleet.Start(kId, "north1");
    cr_assert(fleet.RunUntil(Milliseconds(10'000), [this] {
      return core().KnowsDepartures() && core().table() != nullptr;
    }));
  }

  DistributionCore& core() { return *fleet.nodes[kId].core; }
  void Restart() {
    fleet.Crash(kId, /*is_power_loss=*/true);
    fleet.Run(Milliseconds(100));
    fleet.Boot(kId);
  }
  bool IsStoredWithin(Milliseconds limit, const TargetRun& run) {
    return fleet.RunUntil(limit, [&] { return core().IsDepartureStored(run); });
  }

  CoreFleet fleet;
};

}  // namespace

// Guards against an acknowledgement before the store holds the departure, and
// against a departure that is not written once the store can be reached again.
Test(departure_store, holds_a_departure_only_when_the_store_has_it) {
  for (const FakeStore::Mode mode :
       {FakeStore::Mode::kUp, FakeStore::Mode::kUnreachable,
        FakeStore::Mode::kResponsesLost}) {
    SingleNode node;
    node.fleet.store.mode = mode;
    node.core().SetDeparture(kRun);
    cr_expect_not(node.core().IsDepartureStored(kRun));
    if (mode != FakeStore::Mode::kUp) {
      cr_expect_not(node.IsStoredWithin(Milliseconds(8'000), kRun));
      node.fleet.store.mode = FakeStore::Mode::kUp;
    }
    cr_assert(node.IsStoredWithin(Milliseconds(2'500), kRun));
    cr_expect(node.fleet.store.Read(kKey).value ==
              TargetRunToJson(kRun).dump());
    cr_expect_not(node.core().IsDepartureStored(kLaterRun));
  }
}

// Guards against a write that a store over its rate rejects and that is not
// repeated, and against repetitions that add to the load of the store.
Test(departure_store, rejected_write_is_repeated_with_backoff) {
  SingleNode node;
  node.fleet.store.rejects_writes = true;
  node.core().SetDeparture(kRun);
  node.fleet.Run(Milliseconds(20'000));
  cr_expect_leq(node.fleet.store.calls[std::string("put ") + kKey], 25);
  node.fleet.store.rejects_writes = false;
  cr_expect(node.IsStoredWithin(Milliseconds(2'500), kRun));
}

// Guards against a process that takes its target for one without a departure
// before the store has responded.
Test(departure_store, nothing_is_known_before_the_store_responds) {
  SingleNode node;
  node.core().SetDeparture(kRun);
  cr_assert(node.IsStoredWithin(Milliseconds(1'000), kRun));
  node.fleet.store.mode = FakeStore::Mode::kUnreachable;
  node.Restart();
  node.fleet.Run(Milliseconds(20'000));
  cr_expect_not(node.core().KnowsDepartures());
  node.fleet.store.mode = FakeStore::Mode::kUp;
  cr_assert(node.fleet.RunUntil(Milliseconds(2'500),
                                [&] { return node.core().KnowsDepartures(); }));
  cr_expect(node.core().self().departure == kRun);
  // The object is in the store already.
  cr_expect(node.core().IsDepartureStored(kRun));
}

// Guards against the object of an earlier process, or a late write of it, that
// replaces a later departure.
Test(departure_store, later_departure_of_another_process_holds) {
  SingleNode node;
  node.fleet.store.Write(kKey, TargetRunToJson(kLaterRun).dump());
  node.core().SetDeparture(kRun);
  cr_assert(node.IsStoredWithin(Milliseconds(1'000), kRun));
  cr_expect(node.core().self().departure == kLaterRun);
  cr_expect(node.fleet.store.Read(kKey).value ==
            TargetRunToJson(kLaterRun).dump());
}

// Guards against an odd entry of another writer that ends the process, that
// counts as the absence of a departure, or that keeps departures from being
// written.
Test(departure_store, malformed_object_is_no_answer_and_is_replaced) {
  for (const std::string& value : std::vector<std::string>{
           "", "x", "{}", "[]", "null", "7", R"("text")",
           R"({"instance_hash":0,"started_ms":1})",
           R"({"instance_hash":-1,"started_ms":1})",
           R"({"instance_hash":1e300,"started_ms":1})",
           R"({"instance_hash":"1","started_ms":1})", R"({"instance_hash":1})",
           R"({"instance_hash":9007199254740993,"started_ms":1})",
           std::string(100'000, '['), std::string(100'000, 'x')}) {
    SingleNode node;
    node.fleet.store.Write(kKey, value);
    node.Restart();
    node.fleet.Run(Milliseconds(5'000));
    cr_expect_not(node.core().KnowsDepartures(), "%.40s", value.c_str());
    node.core().SetDeparture(kRun);
    cr_expect(node.IsStoredWithin(Milliseconds(1'000), kRun), "%.40s",
              value.c_str());
    node.Restart();
    cr_assert(node.fleet.RunUntil(
        Milliseconds(2'500), [&] { return node.core().KnowsDepartures(); }));
    cr_expect(node.core().self().departure == kRun);
  }
}

// Guards against an acknowledged departure that the older copy of a store
// lacks: a process that has it writes it again, and one that starts does not
// take the copy for an answer.
Test(departure_store, return_from_an_older_copy) {
  for (const bool is_table_foreign : {false, true}) {
    SingleNode node;
    node.fleet.store.is_table_foreign = is_table_foreign;
    node.fleet.Run(Milliseconds(3'000));
    node.core().SetDeparture(kRun);
    cr_assert(node.IsStoredWithin(Milliseconds(1'000), kRun));
    node.fleet.store.ReturnFromCopy(Milliseconds(2'000));
    cr_assert_eq(node.fleet.store.Read(kKey).version, 0);
    node.Restart();
    node.fleet.Run(Milliseconds(5'000));
    cr_expect_not(node.core().KnowsDepartures());

    node.core().SetDeparture(kRun);
    cr_assert(node.IsStoredWithin(Milliseconds(1'000), kRun));
    node.fleet.Run(Milliseconds(3'000));
    node.fleet.store.ReturnFromCopy(Milliseconds(60'000));
    cr_assert_eq(node.fleet.store.Read(kKey).version, 0);
    cr_expect(node.fleet.RunUntil(Milliseconds(60'000), [&] {
      return node.fleet.store.Read(kKey).version != 0;
    }));
    cr_expect(node.IsStoredWithin(Milliseconds(1'000), kRun));
  }
}

// Guards against a node that waits for the store although a peer has seen its
// target serve, and against one that relies on a peer that has not.
Test(departure_store, peer_that_saw_the_target_serve_replaces_the_store) {
  for (const bool has_served : {false, true}) {
    SingleNode node;
    node.fleet.Start("north1-1", "north1");
    cr_assert(node.fleet.RunUntil(Milliseconds(10'000),
                                  [&] { return node.fleet.AllHaveNodes(2); }));
    if (has_served) {
      node.core().SetTarget("roster", TargetState::kReady, 4);
    }
    node.fleet.Run(Milliseconds(3'000));
    node.fleet.store.rejected_clients = {&node.fleet.nodes[kId].paused};
    // The second process knows no departures, so that it is no witness.
    for (int restarts = 0; restarts < 2; ++restarts) {
      node.Restart();
      node.fleet.Run(Milliseconds(6'000));
      cr_expect_eq(node.core().KnowsDepartures(), has_served);
    }
  }
}

namespace {

// Lets a node acknowledge two departures, the second one while its peer is cut
// off, and restarts the node when both are linked again.
void RestartBesideOutdatedPeer(SingleNode* node,
                               const std::function<void()>& before_restart) {
  node->fleet.Start("north1-1", "north1");
  cr_assert(node->fleet.RunUntil(Milliseconds(10'000),
                                 [&] { return node->fleet.AllHaveNodes(2); }));
  node->core().SetDeparture(kRun);
  cr_assert(node->IsStoredWithin(Milliseconds(1'000), kRun));
  node->fleet.Run(Milliseconds(1'000));
  node->fleet.network.is_partitioned = [](const HostPort&, const HostPort&) {
    return true;
  };
  node->core().SetDeparture(kLaterRun);
  cr_assert(node->IsStoredWithin(Milliseconds(1'000), kLaterRun));
  before_restart();
  node->Restart();
  node->fleet.network.is_partitioned = [](const HostPort&, const HostPort&) {
    return false;
  };
}

}  // namespace

// Guards against a peer that missed the last departure and that responds before
// the store does.
Test(departure_store, store_precedes_a_peer_that_missed_a_departure) {
  SingleNode node;
  RestartBesideOutdatedPeer(
      &node, [&] { node.fleet.store.delay = Milliseconds(300); });
  cr_assert(node.fleet.RunUntil(Milliseconds(20'000),
                                [&] { return node.core().KnowsDepartures(); }));
  cr_expect(node.core().self().departure == kLaterRun);
}

// Guards against the same peer while the store rejects the node.
Test(departure_store, peer_that_missed_a_departure_is_no_witness) {
  SingleNode node;
  RestartBesideOutdatedPeer(&node, [&] {
    node.fleet.store.rejected_clients = {&node.fleet.nodes[kId].paused};
  });
  node.fleet.Run(Milliseconds(20'000));
  cr_expect(!node.core().KnowsDepartures() ||
            node.core().self().departure == kLaterRun);
}

namespace {

// Draws runs of targets, ends of processes and faults of the store, and checks
// that no process counts the departures as known and lacks one that was
// acknowledged.
class DepartureModel final {
 public:
  explicit DepartureModel(uint64_t seed)
      : seed_(seed), random_(seed), fleet_(seed) {
    fleet_.WriteTable({"roster"});
    fleet_.StartMany({"north1", "south1"}, 3);
    fleet_.Run(Milliseconds(10'000));
  }

  void Run() {
    for (int step = 0; step < kSteps; ++step) {
      for (auto& [id, node] : fleet_.nodes) {
        if (node.core != nullptr) {
          MoveTarget(id);
        }
      }
      ChangeStore();
      if (random_.Below(12) == 0) {
        EndProcesses();
      }
      for (int i = 0; i < 4; ++i) {
        fleet_.Run(Milliseconds(5 + random_.Below(100)));
        Check();
      }
    }
    cr_expect_gt(acknowledged_count_, kSteps / 10, "seed %lu", seed_);
  }

 private:
  static constexpr int kSteps = 150;

  struct Target {
    TargetRun run;
    bool is_leaving = false;
    TargetRun acknowledged;
  };

  void MoveTarget(const NodeId& id) {
    DistributionCore& core = *fleet_.nodes[id].core;
    Target& target = targets_[id];
    if (target.is_leaving) {
      // An unacknowledged announcement is repeated.
      core.SetDeparture(target.run);
      if (target.acknowledged == target.run && random_.Below(4) == 0) {
        target.is_leaving = false;
        target.run = {};
      }
    } else if (target.run.empty()) {
      target.run = TargetRun::Make("i", ++runs_ * 1'000);
    } else if (random_.Below(10) == 0) {
      target.is_leaving = true;
      core.SetTarget("roster", TargetState::kDraining, 4);
      core.SetDeparture(target.run);
    } else if (core.KnowsDepartures()) {
      core.SetTarget("roster", TargetState::kReady, 4);
    }
  }

  void ChangeStore() {
    FakeStore& store = fleet_.store;
    switch (random_.Below(12)) {
      case 0:
        store.mode = FakeStore::Mode::kUnreachable;
        break;
      case 1:
        store.mode = FakeStore::Mode::kResponsesLost;
        break;
      case 2:
        store.delay = Milliseconds(700);
        break;
      case 3:
        store.rejected_clients.clear();
        for (auto& [id, node] : fleet_.nodes) {
          if (random_.Below(2) == 0) {
            store.rejected_clients.insert(&node.paused);
          }
        }
        break;
      case 4:
        store.rejects_writes = true;
        break;
      case 5:
      case 6:
      case 7:
        store.mode = FakeStore::Mode::kUp;
        store.delay = Milliseconds(2);
        store.rejected_clients.clear();
        store.rejects_writes = false;
        break;
      default:
        break;
    }
  }

  // Ends some or all processes at once, and starts them again.
  void EndProcesses() {
    const bool ends_all = random_.Below(2) == 0;
    const bool is_power_loss = random_.Below(2) == 0;
    std::vector<NodeId> ended;
    for (const auto& [id, node] : fleet_.nodes) {
      if (ends_all || random_.Below(3) == 0) {
        fleet_.Crash(id, is_power_loss);
        ended.push_back(id);
      }
    }
    fleet_.Run(Milliseconds(random_.Below(400)));
    for (const NodeId& id : ended) {
      fleet_.Boot(id);
      fleet_.Run(Milliseconds(random_.Below(40)));
    }
  }

  void Check() {
    for (auto& [id, node] : fleet_.nodes) {
      Target& target = targets_[id];
      if (target.is_leaving && target.acknowledged != target.run &&
          node.core->IsDepartureStored(target.run)) {
        target.acknowledged = target.run;
        ++acknowledged_count_;
      }
      const TargetRun& known = node.core->self().departure;
      cr_assert(!node.core->KnowsDepartures() || target.acknowledged.empty() ||
                    known == target.acknowledged ||
                    target.acknowledged.IsEarlierThan(known),
                "seed %lu: %s knows %ld, not %ld", seed_, id.c_str(),
                known.started_ms, target.acknowledged.started_ms);
    }
  }

  const uint64_t seed_;
  Random random_;
  CoreFleet fleet_;
  std::map<NodeId, Target> targets_;
  int64_t runs_ = 0;
  int acknowledged_count_ = 0;
};

}  // namespace

// Guards against an acknowledged departure that is lost, whatever part of the
// processes ends, between which steps, and whatever the store does.
Test(departure_store,
     acknowledged_departures_outlive_ends_and_faults,
     .timeout = 120) {
  for (uint64_t seed = 1; seed <= 12; ++seed) {
    DepartureModel(seed).Run();
  }
}

}  // namespace dragonflytack
