// Departures that a node has acknowledged and that outlive its process.

#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <criterion/criterion.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "call_fixture.h"
#include "core_fleet.h"
#include "daemon/control_task.h"
#include "daemon/target_life_cycle.h"
#include "distribution/message_codec.h"
#include "dragonflytack/base/admin_authorization.h"
#include "dragonflytack/base/manual_clock.h"
#include "net/record_json.h"
#include "platform/heartbeat_handler.h"
#include "support/child_process.h"

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

namespace {

// Two daemons with the platform's heartbeats and a store, all of them processes
// of their own.
class DaemonPair final {
 public:
  DaemonPair() {
    const std::string standin = std::filesystem::read_symlink("/proc/self/exe")
                                    .replace_filename("store_standin")
                                    .string();
    store_ = ChildProcess::Start({standin, "--listen", address(0) + ":7006",
                                  "--admin", address(0) + ":7007"},
                                 "/dev/null");
    cr_assert(store_.has_value());
    Start(0);
    Start(1);
  }
  ~DaemonPair() {
    Kill(0);
    Kill(1);
  }

  void Start(int node) {
    const pid_t pid = fork();
    cr_assert_geq(pid, 0);
    if (pid == 0) {
      RunDaemon(node);
    }
    pids_[node] = pid;
  }

  void Kill(int node) {
    if (pids_[node] > 0) {
      kill(pids_[node], SIGKILL);
      waitpid(pids_[node], nullptr, 0);
      pids_[node] = 0;
    }
  }

  // Requests a planned stop and waits for its end.
  void Stop(int node) {
    kill(pids_[node], SIGTERM);
    waitpid(pids_[node], nullptr, 0);
    pids_[node] = 0;
  }

  // Sends an operation of the target of the first node. Returns the status of
  // the response, 0 without one.
  int Report(const std::string& operation,
             const std::string& state = "",
             int sequence = 0) const {
    nlohmann::json body = {{"born", 1'000}};
    if (!state.empty()) {
      body.update(
          {{"address", address(0) + ":7005"},
           {"info",
            {{"service", "s"}, {"version", "v1"}, {"zone", "d"}, {"slots", 4}}},
           {"status", {{"state", state}, {"seq", sequence}}}});
    }
    return Request(0, 7009, "POST",
                   "/rpc?call=instances." + operation + "&of=i", body.dump())
        .status;
  }

  // Whether the second node has the target of the first one in this state.
  bool HasState(const std::string& state) const {
    const HttpReply reply = Request(1, 7004, "GET", "/nodes", "");
    const nlohmann::json body =
        nlohmann::json::parse(reply.body, nullptr, false);
    if (!body.is_object()) {
      return false;
    }
    const auto& nodes = body.at("nodes");
    return std::any_of(nodes.begin(), nodes.end(), [&](const auto& node) {
      return node.at("id") == "n0" && node.at("state") == state;
    });
  }

  template <typename Condition>
  static bool WaitFor(Milliseconds limit, const Condition& condition) {
    const TimePoint end = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
      if (std::chrono::steady_clock::now() > end) {
        return false;
      }
      std::this_thread::sleep_for(Milliseconds(20));
    }
    return true;
  }

 private:
  static constexpr char kKey[] = "0123456789abcdef";

  const std::string& address(int node) const { return addresses_[node]; }

  [[noreturn]] void RunDaemon(int node) const {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    Settings settings;
    settings.node_id = fmt::format("n{}", node);
    settings.region = settings.store_region = "r";
    settings.data_centre = "d";
    settings.address = address(node);
    settings.service = "s";
    settings.call_port = 7001;
    settings.mesh_port = 7002;
    settings.peer_port = 7003;
    settings.admin_port = 7004;
    settings.target_port = 7009;
    settings.target_address = HostPort{address(node), 7005};
    settings.target_heartbeat_timeout_ms = 6'000;
    settings.store = {address(0), 7006};
    settings.shared_key = kKey;
    settings.drain_timeout_ms = 2'000;
    Environment environment = Environment::Native();
    environment.make_announcement_handler =
        [](const Settings& used, Environment::AnnouncementCallback callback,
           Logger* logger) -> std::unique_ptr<AdminHandler> {
      return std::make_unique<platform::HeartbeatHandler>(
          used, std::move(callback), logger);
    };
    const SystemClock clock;
    Logger logger(&clock, LogLevel::kError, settings.node_id);
    Failure reason;
    const auto task =
        ControlTask::Make(settings, environment, &clock, &logger, &reason);
    _exit(task == nullptr ? 2 : task->Run());
  }

  HttpReply Request(int node,
                    uint16_t port,
                    const std::string& method,
                    const std::string& path,
                    const std::string& body) const {
    const Socket socket(address(node), port);
    if (socket.fd() < 0) {
      return {};
    }
    socket.Send(
        fmt::format("{} {} HTTP/1.1\r\nhost: x\r\nauthorization: {}\r\n"
                    "content-length: {}\r\n\r\n{}",
                    method, path, AdminAuthorization(kKey), body.size(), body));
    return socket.Receive(Milliseconds(2'000));
  }

  // They depend on the process.
  const std::string addresses_[2] = {LoopbackAddress(0), LoopbackAddress(1)};
  std::optional<ChildProcess> store_;
  pid_t pids_[2] = {};
};

}  // namespace

// Guards against calls to a target whose departure was acknowledged by a
// process that was killed or stopped since: a late heartbeat reaches the next
// process.
Test(departure, late_heartbeat_after_a_restart_is_refused, .timeout = 120) {
  for (const bool is_planned : {false, true}) {
    DaemonPair pair;
    cr_assert(DaemonPair::WaitFor(Milliseconds(20'000), [&] {
      return pair.Report("heartbeat", "ready", 1) == 200;
    }));
    cr_assert(DaemonPair::WaitFor(Milliseconds(20'000),
                                  [&] { return pair.HasState("ready"); }));
    if (is_planned) {
      // The target leaves while its node stops.
      std::thread leaving([&pair] {
        std::this_thread::sleep_for(Milliseconds(50));
        cr_expect_eq(pair.Report("heartbeat", "draining", 3), 200);
      });
      pair.Stop(0);
      leaving.join();
    } else {
      cr_assert_eq(pair.Report("deregister"), 200);
      pair.Kill(0);
    }
    pair.Start(0);
    // Until the ports are open and the peer is found.
    cr_assert(DaemonPair::WaitFor(Milliseconds(20'000),
                                  [&] { return pair.HasState("starting"); }));
    cr_expect_eq(pair.Report("heartbeat", "ready", 2), 503);
    cr_expect(!DaemonPair::WaitFor(Milliseconds(1'500),
                                   [&] { return pair.HasState("ready"); }));
  }
}

}  // namespace dragonflytack
