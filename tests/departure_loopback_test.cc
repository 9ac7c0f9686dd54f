// Departures on real processes: what a daemon acknowledges, and what holds
// after daemons have ended.

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

#include <criterion/criterion.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "call_fixture.h"
#include "daemon/control_task.h"
#include "dragonflytack/base/admin_authorization.h"
#include "platform/heartbeat_handler.h"
#include "support/child_process.h"

namespace dragonflytack {

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

  // Ends both daemons at once and starts them again.
  void RestartAll() {
    kill(pids_[0], SIGKILL);
    kill(pids_[1], SIGKILL);
    Kill(0);
    Kill(1);
    Start(0);
    Start(1);
  }

  // Lets the store accept no connection and send no response, or continue.
  void HoldStore(bool held) const { store_->Signal(held ? SIGSTOP : SIGCONT); }

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
        [](const Settings& used, AnnouncementCallback callback,
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

// Guards against a departure that is forgotten when all processes end, so that
// a late heartbeat brings the target calls.
Test(departure,
     late_heartbeat_after_the_end_of_all_processes_is_refused,
     .timeout = 120) {
  for (const char* operation : {"deregister", "heartbeat"}) {
    DaemonPair pair;
    cr_assert(DaemonPair::WaitFor(Milliseconds(20'000), [&] {
      return pair.Report("heartbeat", "ready", 1) == 200;
    }));
    cr_assert(DaemonPair::WaitFor(Milliseconds(20'000),
                                  [&] { return pair.HasState("ready"); }));
    cr_assert_eq(
        pair.Report(operation,
                    operation == std::string("heartbeat") ? "draining" : "", 3),
        200);
    for (int restarts = 0; restarts < 2; ++restarts) {
      pair.RestartAll();
      // Also before the node has a peer or a table.
      int status = 0;
      cr_assert(DaemonPair::WaitFor(Milliseconds(20'000), [&] {
        status = pair.Report("heartbeat", "ready", 2);
        return status != 0;
      }));
      cr_expect_eq(status, 503);
      cr_assert(DaemonPair::WaitFor(Milliseconds(20'000),
                                    [&] { return pair.HasState("starting"); }));
      cr_expect_eq(pair.Report("heartbeat", "ready", 4), 503);
      cr_expect(!DaemonPair::WaitFor(Milliseconds(1'500),
                                     [&] { return pair.HasState("ready"); }));
    }
    // The target may repeat that it leaves.
    cr_expect_eq(pair.Report("deregister"), 200);
  }
}

// Guards against an acknowledgement while the store is away, against one that
// is not given once it is back, and against calls to the target meanwhile.
Test(departure, silent_store_delays_the_acknowledgement_only, .timeout = 120) {
  DaemonPair pair;
  cr_assert(DaemonPair::WaitFor(Milliseconds(20'000), [&] {
    return pair.Report("heartbeat", "ready", 1) == 200;
  }));
  cr_assert(DaemonPair::WaitFor(Milliseconds(20'000),
                                [&] { return pair.HasState("ready"); }));
  pair.HoldStore(true);
  cr_expect_eq(pair.Report("heartbeat", "ready", 2), 200);
  cr_expect_eq(pair.Report("heartbeat", "draining", 3), 503);
  cr_expect(DaemonPair::WaitFor(Milliseconds(1'000),
                                [&] { return pair.HasState("draining"); }));
  cr_expect_eq(pair.Report("deregister"), 503);
  pair.HoldStore(false);
  cr_expect(DaemonPair::WaitFor(
      Milliseconds(10'000), [&] { return pair.Report("deregister") == 200; }));
}

}  // namespace dragonflytack
