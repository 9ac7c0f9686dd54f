// Targets that announce themselves late, ends of processes and faults of the
// store, against all that decides on an announcement except the sockets.

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <criterion/criterion.h>
#include <fmt/format.h>

#include "core_fleet.h"
#include "daemon/announcement_queue.h"
#include "daemon/target_life_cycle.h"
#include "dragonflytack/base/random.h"

namespace dragonflytack {

namespace {

constexpr Milliseconds kHeartbeat{1'500};
constexpr Milliseconds kAnnouncementTimeout{6'000};
// A target that leaves serves for so long after the acknowledgement.
constexpr Milliseconds kServesOn{2'500};
constexpr Milliseconds kMaxDelay{5'000};
// Until a run that lives has to serve once nothing is disturbed any more.
constexpr Milliseconds kRecovery{12'000};

// The parts of one node's process that decide on announcements.
struct NodeProcess {
  NodeProcess(CoreFleet::Node* node, Logger* logger)
      : life_cycle(node->timers.get(),
                   kAnnouncementTimeout,
                   [core = node->core.get()](const LocalTarget& target) {
                     core->SetTarget(target.service, target.state, 4);
                   }),
        queue(node->timers.get(),
              logger,
              {[core = node->core.get()] { return core->KnowsDepartures(); },
               [this, core = node->core.get()](const LocalTarget& target) {
                 if (!life_cycle.HandleAnnouncement(target)) {
                   return Failure{FailureCode::kConflict, "", ""};
                 }
                 core->SetDeparture(life_cycle.departure());
                 return Failure();
               },
               [this] { return life_cycle.departure(); },
               [core = node->core.get()](const TargetRun& run) {
                 return core->IsDepartureStored(run);
               }}) {
    life_cycle.set_knows_departures(false);
    DistributionCore* const core = node->core.get();
    core->set_on_departure(
        [this](const TargetRun& run) { life_cycle.RestoreDeparture(run); });
    core->set_on_departure_status([this, core] {
      life_cycle.set_knows_departures(core->KnowsDepartures());
      queue.Update();
    });
  }

  TargetLifeCycle life_cycle;
  AnnouncementQueue queue;
};

struct Target {
  LocalTarget announced;
  TimePoint next_heartbeat;
  bool is_leaving = false;
  bool is_acknowledged = false;
  TimePoint ends_at = TimePoint::max();
};

class DepartureModel final {
 public:
  explicit DepartureModel(uint64_t seed)
      : seed_(seed), random_(seed), fleet_(seed) {
    fleet_.WriteTable({"roster"});
    for (const char* id : {"a", "b", "c"}) {
      fleet_.Start(id, "north1");
      Attach(id);
      StartTarget(id);
    }
  }
  ~DepartureModel() { processes_.clear(); }

  void Run() {
    for (int i = 0; i < kTurns; ++i) {
      if (i % kTurnsBetweenFaults == 0) {
        Disturb();
      }
      Turn();
    }
    fleet_.store.mode = FakeStore::Mode::kUp;
    fleet_.store.delay = Milliseconds(2);
    fleet_.store.rejected_clients.clear();
    may_leave_ = false;
    for (int i = 0; i < kRecovery / kTurn; ++i) {
      Turn();
    }
    for (const auto& [id, target] : targets_) {
      const LocalTarget& known = processes_.at(id)->life_cycle.target();
      cr_expect(
          target.is_leaving || (known.instance == target.announced.instance &&
                                known.state == TargetState::kReady),
          "seed %lu: %s does not serve", seed_,
          target.announced.instance.c_str());
    }
    cr_expect_gt(departed_.size(), 5u, "seed %lu", seed_);
  }

 private:
  static constexpr Milliseconds kTurn{20};
  static constexpr int kTurns = 4'000;
  static constexpr int kTurnsBetweenFaults = 40;

  struct Delivery {
    NodeId node;
    LocalTarget announced;
  };

  TimePoint Now() const { return fleet_.clock.Now(); }

  void Attach(const NodeId& id) {
    CoreFleet::Node& node = fleet_.nodes[id];
    processes_[id] = std::make_unique<NodeProcess>(&node, node.logger.get());
  }

  void StartTarget(const NodeId& id) {
    Target target;
    target.announced = {"roster", "127.0.0.1", 8080, TargetState::kReady, 4};
    target.announced.instance = fmt::format("{}-{}", id, ++runs_);
    target.announced.started_ms = fleet_.clock.WallMillis();
    target.next_heartbeat = Now();
    targets_[id] = std::move(target);
  }

  void Turn() {
    for (auto& [id, target] : targets_) {
      MoveTarget(id, &target);
    }
    fleet_.Run(kTurn);
    while (!deliveries_.empty() && deliveries_.begin()->first <= Now()) {
      const Delivery delivery = std::move(deliveries_.begin()->second);
      deliveries_.erase(deliveries_.begin());
      Deliver(delivery);
    }
    for (const auto& [id, process] : processes_) {
      const LocalTarget& known = process->life_cycle.target();
      const bool serves = known.state == TargetState::kReady ||
                          known.state == TargetState::kWarming;
      cr_assert(!serves || !departed_.contains(known.instance),
                "seed %lu: %s serves again", seed_, known.instance.c_str());
    }
  }

  void MoveTarget(const NodeId& id, Target* target) {
    if (Now() >= target->ends_at) {
      StartTarget(id);
      return;
    }
    if (Now() < target->next_heartbeat || target->is_acknowledged) {
      return;
    }
    if (!target->is_leaving && may_leave_ && random_.Below(5) == 0) {
      target->is_leaving = true;
      target->announced.state =
          random_.Below(2) == 0 ? TargetState::kLeft : TargetState::kDraining;
    }
    ++target->announced.sequence;
    target->next_heartbeat = Now() + kHeartbeat;
    // A copy or the announcement itself may be late.
    const auto delay = [this] {
      return random_.Below(4) == 0
                 ? Milliseconds(random_.Below(kMaxDelay.count()))
                 : Milliseconds(0);
    };
    deliveries_.emplace(Now() + delay(), Delivery{id, target->announced});
    if (random_.Below(3) == 0) {
      deliveries_.emplace(Now() + delay(), Delivery{id, target->announced});
    }
  }

  void Deliver(const Delivery& delivery) {
    processes_.at(delivery.node)
        ->queue.Handle(
            delivery.announced, [this, delivery](const Failure& result) {
              Target& target = targets_.at(delivery.node);
              const bool is_leaving =
                  delivery.announced.state == TargetState::kLeft ||
                  delivery.announced.state == TargetState::kDraining;
              if (result.code != FailureCode::kNone || !is_leaving) {
                return;
              }
              departed_.insert(delivery.announced.instance);
              if (target.announced.instance == delivery.announced.instance &&
                  !target.is_acknowledged) {
                target.is_acknowledged = true;
                target.ends_at = Now() + kServesOn;
              }
            });
  }

  // Ends processes, or changes how the store responds.
  void Disturb() {
    FakeStore& store = fleet_.store;
    switch (random_.Below(10)) {
      case 0:
        End({"a", "b", "c"});
        break;
      case 1:
        End({"a"});
        break;
      case 2:
        End({"a", "c"});
        break;
      case 3:
        store.mode = FakeStore::Mode::kUnreachable;
        break;
      case 4:
        store.mode = FakeStore::Mode::kResponsesLost;
        break;
      case 5:
        store.delay = Milliseconds(600);
        break;
      case 6:
        store.rejected_clients = {&fleet_.nodes["a"].paused};
        break;
      default:
        store.mode = FakeStore::Mode::kUp;
        store.delay = Milliseconds(2);
        store.rejected_clients.clear();
        break;
    }
  }

  void End(const std::vector<NodeId>& ids) {
    for (const NodeId& id : ids) {
      processes_.erase(id);
      fleet_.Crash(id, random_.Below(2) == 0);
    }
    fleet_.Run(Milliseconds(random_.Below(300)));
    for (const NodeId& id : ids) {
      fleet_.Boot(id);
      Attach(id);
    }
  }

  const uint64_t seed_;
  Random random_;
  CoreFleet fleet_;
  std::map<NodeId, std::unique_ptr<NodeProcess>> processes_;
  std::map<NodeId, Target> targets_;
  std::multimap<TimePoint, Delivery> deliveries_;
  // Runs whose departure was acknowledged.
  std::set<std::string> departed_;
  bool may_leave_ = true;
  int runs_ = 0;
};

}  // namespace

// Guards against a run that serves again after its departure was acknowledged,
// because of a late announcement, and against one that lives and never serves
// again.
Test(departure, late_announcements_and_ends_of_processes, .timeout = 120) {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    DepartureModel(seed).Run();
  }
  // A process that has no link yet acknowledges a departure and is killed, so
  // that the peers know only the one before.
  DepartureModel(737).Run();
}

}  // namespace dragonflytack
