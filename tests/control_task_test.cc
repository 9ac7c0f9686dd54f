#include "daemon/control_task.h"

#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <optional>
#include <string>
#include <thread>

#include <criterion/criterion.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "call_fixture.h"
#include "dragonflytack/base/admin_authorization.h"
#include "dragonflytack/base/logger.h"
#include "log_reader.h"
#include "raw_server.h"
#include "store/store_standin.h"

namespace dragonflytack {

namespace {

constexpr char kKey[] = "0123456789abcdef";
constexpr char kTable[] =
    R"({"rows":[{"service":"s","kind":"idempotent","deadline_ms":60000}],)"
    R"("recent":[]})";
constexpr Milliseconds kReceiveTimeout{5000};

// A store with a table, a scripted target, and one complete node with its
// control and call tasks.
class NodeFixture {
 public:
  explicit NodeFixture(ScriptedTarget::Script script,
                       LogLevel log_level = LogLevel::kError)
      : logger_(&clock_, log_level, ""),
        address_(LoopbackAddress(0)),
        target_(address_, 7005, std::move(script)),
        store_loop_(EventLoop::Make(&clock_)) {
    Failure reason;
    store_ = StoreStandin::Make(store_loop_.get(), {address_, 7006},
                                {address_, 7007}, &reason);
    cr_assert(store_ != nullptr, "%s", reason.ToString().c_str());
    collector_ = std::make_unique<RawServer>(
        store_loop_.get(), "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
        false);
    store_thread_ = std::thread([this] { store_loop_->Run(); });
    Request(7006, "PUT", "/v1/objects/table", "x-if-version: 0\r\n", kTable);
    Settings settings;
    settings.node_id = "n1";
    settings.region = settings.store_region = "r";
    settings.data_centre = "d";
    settings.address = address_;
    settings.call_port = 7001;
    settings.mesh_port = 7002;
    settings.peer_port = 7003;
    settings.admin_port = 7004;
    settings.ready_port = 7008;
    settings.store = {address_, 7006};
    settings.shared_key = kKey;
    settings.drain_timeout_ms = 1000;
    settings.trace_sample = 1;
    settings.trace_collector = collector_->address();
    Environment environment = Environment::Native();
    environment.reload = [this, settings](Failure* failure) {
      std::this_thread::sleep_for(reload_time_.load());
      *failure = Failure{FailureCode::kInvalidSetting, "file:1", "test"};
      return ++reloads_ == 1 ? std::nullopt : std::optional(settings);
    };
    task_ =
        ControlTask::Make(settings, environment, &clock_, &logger_, &reason);
    cr_assert(task_ != nullptr, "%s", reason.ToString().c_str());
    thread_ = std::thread([this] { exit_code_ = task_->Run(); });
    cr_assert_eq(Announce("ready").status, 200);
    WaitForRoute();
  }

  ~NodeFixture() {
    store_loop_->Stop();
    store_thread_.join();
  }

  HttpReply Request(uint16_t port,
                    const std::string& method,
                    const std::string& path,
                    const std::string& headers = "",
                    const std::string& body = "") const {
    const Socket socket(address_, port);
    socket.Send(
        fmt::format("{} {} HTTP/1.1\r\nhost: x\r\ncontent-length: "
                    "{}\r\n{}\r\n{}",
                    method, path, body.size(), headers, body));
    return socket.Receive(kReceiveTimeout);
  }

  HttpReply Admin(const std::string& path) const {
    return Request(7004, "GET", path,
                   "authorization: " + AdminAuthorization(kKey) + "\r\n");
  }

  HttpReply Announce(const std::string& state) const {
    return Request(
        7004, "POST", "/announce", "",
        fmt::format(
            R"({{"service":"s","address":"{}","port":7005,"state":"{}"}})",
            address_, state));
  }

  // Sends a call without waiting for its response, and waits until the target
  // has received it.
  std::unique_ptr<Socket> BeginCall() const {
    auto socket = std::make_unique<Socket>(address_, 7001);
    socket->Send("GET /s/x HTTP/1.1\r\nhost: x\r\n\r\n");
    for (int i = 0; i < 1000 && target_.requests() == 0; ++i) {
      std::this_thread::sleep_for(Milliseconds(2));
    }
    cr_assert_eq(target_.requests(), 1);
    return socket;
  }

  // Waits until the task has ended and returns its exit code.
  int Join() {
    thread_.join();
    task_.reset();
    return exit_code_;
  }

  const std::string& address() const { return address_; }
  int reloads() const { return reloads_; }
  // Sets how long a SIGHUP keeps the thread of the control task busy.
  void set_reload_time(Milliseconds time) { reload_time_ = time; }

 private:
  void WaitForRoute() const {
    for (int i = 0; i < 500; ++i) {
      const HttpReply reply = Admin("/routes?service=s");
      if (reply.body.find("\"ready\"") != std::string::npos) {
        return;
      }
      std::this_thread::sleep_for(Milliseconds(10));
    }
    cr_assert_fail("no route came into force");
  }

  std::atomic<int> reloads_ = 0;
  std::atomic<Milliseconds> reload_time_ = Milliseconds(0);
  const SystemClock clock_;
  Logger logger_;
  const std::string address_;
  ScriptedTarget target_;
  const std::unique_ptr<EventLoop> store_loop_;
  std::unique_ptr<StoreStandin> store_;
  std::unique_ptr<RawServer> collector_;
  std::thread store_thread_;
  std::unique_ptr<ControlTask> task_;
  std::thread thread_;
  int exit_code_ = -1;
};

// Expects the counts of calls in progress of a line.
void ExpectCalls(const nlohmann::json& line, int entry, int target) {
  cr_expect(line["entry_calls"] == entry && line["target_calls"] == target,
            "%s", line.dump().c_str());
}

bool RespondLate(int fd, const std::string& /*head*/, int /*n*/) {
  std::this_thread::sleep_for(Milliseconds(300));
  return ScriptedTarget::Respond(fd, "late");
}

bool NeverRespond(int /*fd*/, const std::string& /*head*/, int /*n*/) {
  std::this_thread::sleep_for(Milliseconds(3000));
  return false;
}

}  // namespace

// Guards against a stop that aborts calls in flight or still accepts
// announcements.
Test(control_task, graceful_stop_finishes_calls_and_exits_with_0) {
  NodeFixture fixture(RespondLate);
  const std::unique_ptr<Socket> call = fixture.BeginCall();
  raise(SIGTERM);
  std::this_thread::sleep_for(Milliseconds(100));
  cr_expect_eq(fixture.Announce("ready").status, 503);
  const HttpReply reply = call->Receive(kReceiveTimeout);
  cr_expect(reply.status == 200 && reply.body == "late");
  cr_expect_eq(fixture.Join(), 0);
}

// Guards against calls that are aborted by a second SIGTERM, which arrives if
// two planned stops include the same node.
Test(control_task, repeated_sigterm_does_not_abort_calls) {
  NodeFixture fixture(RespondLate);
  const std::unique_ptr<Socket> call = fixture.BeginCall();
  raise(SIGTERM);
  std::this_thread::sleep_for(Milliseconds(30));
  raise(SIGTERM);
  const HttpReply reply = call->Receive(kReceiveTimeout);
  cr_expect(reply.status == 200 && reply.body == "late", "%d", reply.status);
  cr_expect_eq(fixture.Join(), 0);
}

// Guards against a node that cannot be ended while a call hangs.
Test(control_task, sigint_during_stop_exits_immediately_with_1) {
  NodeFixture fixture(NeverRespond);
  const std::unique_ptr<Socket> call = fixture.BeginCall();
  const auto start = std::chrono::steady_clock::now();
  raise(SIGTERM);
  std::this_thread::sleep_for(Milliseconds(100));
  raise(SIGINT);
  cr_expect_eq(fixture.Join(), 1);
  cr_expect(std::chrono::steady_clock::now() - start < Milliseconds(900));
}

// Guards against a stop that waits forever for a call that hangs.
Test(control_task, drain_timeout_exits_with_1) {
  NodeFixture fixture(NeverRespond);
  const std::unique_ptr<Socket> call = fixture.BeginCall();
  const auto start = std::chrono::steady_clock::now();
  raise(SIGTERM);
  cr_expect_eq(fixture.Join(), 1);
  cr_expect(std::chrono::steady_clock::now() - start >= Milliseconds(1000));
}

// Guards against an exit code that reports a stop as cut short although it cut
// off nothing: it only ended after the drain timeout, here because the control
// task was busy.
Test(control_task, late_stop_that_cuts_off_nothing_exits_with_0) {
  LogReader log;
  NodeFixture fixture(RespondLate, LogLevel::kInfo);
  fixture.set_reload_time(Milliseconds(1050));
  raise(SIGTERM);
  log.WaitFor("stop_requested");
  raise(SIGHUP);
  cr_expect_eq(fixture.Join(), 0);
  const nlohmann::json ended = log.WaitFor("ended");
  cr_expect(ended["exit_code"] == 0 && ended["outcome"] == "drained", "%s",
            ended.dump().c_str());
  ExpectCalls(ended, 0, 0);
  cr_expect_eq(log.Find("settings_refused").size(), 1u);
}

// Guards against the same exit code if all calls have ended and only a peer
// that does not close its link delays the end until the time of a stop is over.
Test(control_task, stop_that_waits_only_for_a_link_exits_with_0) {
  LogReader log;
  NodeFixture fixture(RespondLate, LogLevel::kInfo);
  const Socket peer(fixture.address(), 7003);
  cr_assert_geq(peer.fd(), 0);
  raise(SIGTERM);
  cr_expect_eq(fixture.Join(), 0);
  const nlohmann::json ended = log.WaitFor("ended");
  cr_expect(ended["exit_code"] == 0 && ended["outcome"] == "drained", "%s",
            ended.dump().c_str());
  cr_expect_eq(log.Find("drain_timeout").size(), 0u);
}

// Guards against a log that does not show whether a stop ended the calls that
// were in progress when it began.
Test(control_task, log_names_the_calls_and_the_end_of_a_graceful_stop) {
  LogReader log;
  std::atomic<bool> released = false;
  NodeFixture fixture(
      [&released](int fd, const std::string&, int) {
        released.wait(false);
        return ScriptedTarget::Respond(fd, "ok");
      },
      LogLevel::kInfo);
  const std::unique_ptr<Socket> call = fixture.BeginCall();
  raise(SIGTERM);
  const nlohmann::json requested = log.WaitFor("stop_requested");
  released = true;
  released.notify_all();
  cr_expect(requested["signal"] == SIGTERM && requested["repeated"] == false);
  ExpectCalls(requested, 1, 1);
  cr_expect_eq(call->Receive(kReceiveTimeout).status, 200);
  cr_expect_eq(fixture.Join(), 0);
  const nlohmann::json ended = log.WaitFor("ended");
  cr_expect(ended["exit_code"] == 0 && ended["outcome"] == "drained", "%s",
            ended.dump().c_str());
  ExpectCalls(ended, 0, 0);
}

// Guards against a stop that is cut short by a second signal or by the drain
// timeout and looks alike in the log, or hides how many calls it ended.
Test(control_task, log_names_the_calls_that_a_stop_cuts_off) {
  for (const bool second_signal : {true, false}) {
    LogReader log;
    NodeFixture fixture(NeverRespond, LogLevel::kInfo);
    const std::unique_ptr<Socket> call = fixture.BeginCall();
    raise(SIGTERM);
    log.WaitFor("stop_requested");
    if (second_signal) {
      raise(SIGINT);
      const nlohmann::json repeated = log.WaitFor("stop_requested", 2);
      cr_expect(repeated["signal"] == SIGINT && repeated["repeated"] == true);
      ExpectCalls(repeated, 1, 1);
    }
    cr_expect_eq(fixture.Join(), 1);
    const nlohmann::json ended = log.WaitFor("ended");
    cr_expect(ended["exit_code"] == 1 &&
                  ended["outcome"] ==
                      (second_signal ? "second_signal" : "drain_timeout"),
              "%s", ended.dump().c_str());
    ExpectCalls(ended, 1, 1);
    cr_expect_eq(ended["keyed_calls"], 0);
    const nlohmann::json failed = log.WaitFor("call_failed");
    cr_expect(failed["reason"] == "stopping" && failed["outcome"] == "unknown",
              "%s", failed.dump().c_str());
    cr_expect_eq(log.Find("call_failed").size(), 1u);
    cr_expect_eq(log.Find("caller_disconnected").size(), 0u);
  }
}

// Guards against a call that a stop cuts off and whose connection is closed
// without a response, so that its caller cannot tell that it may have run.
Test(control_task, calls_that_a_stop_cuts_off_get_a_response) {
  for (const bool second_signal : {true, false}) {
    NodeFixture fixture(NeverRespond);
    const std::unique_ptr<Socket> call = fixture.BeginCall();
    raise(SIGTERM);
    if (second_signal) {
      std::this_thread::sleep_for(Milliseconds(100));
      raise(SIGINT);
    }
    const HttpReply reply = call->Receive(kReceiveTimeout);
    cr_expect_eq(reply.status, 504, "%d, second signal: %d", reply.status,
                 second_signal);
    ExpectEqual(reply.Header("x-outcome"), "unknown");
    ExpectEqual(reply.Header("x-reason"), "stopping");
    cr_expect_eq(fixture.Join(), 1);
  }
}

// Guards against a call that gets no response because the process did not run
// from before the drain timeout until after the end of the stop was due.
Test(control_task, call_gets_a_response_after_a_pause_over_the_drain_timeout) {
  NodeFixture fixture(NeverRespond);
  const std::unique_ptr<Socket> call = fixture.BeginCall();
  raise(SIGTERM);
  const pid_t paused = getpid();
  const pid_t helper = fork();
  if (helper == 0) {
    usleep(200'000);
    kill(paused, SIGSTOP);
    usleep(2'000'000);
    kill(paused, SIGCONT);
    _exit(0);
  }
  cr_assert_gt(helper, 0);
  const HttpReply reply = call->Receive(kReceiveTimeout);
  cr_expect_eq(reply.status, 504, "%d", reply.status);
  ExpectEqual(reply.Header("x-outcome"), "unknown");
  ExpectEqual(reply.Header("x-reason"), "stopping");
  cr_expect_eq(fixture.Join(), 1);
  cr_expect_eq(waitpid(helper, nullptr, 0), helper);
}

// Guards against a call whose connection ends without a response and without a
// line, so that a caller who gave up looks like a node that lost the call.
Test(control_task, log_names_a_call_whose_caller_disconnects) {
  LogReader log;
  std::atomic<bool> released = false;
  NodeFixture fixture(
      [&released](int, const std::string&, int) {
        released.wait(false);
        return false;
      },
      LogLevel::kInfo);
  fixture.BeginCall().reset();
  const nlohmann::json line = log.WaitFor("caller_disconnected");
  cr_expect(line["cause"] == "closed by the caller" && line["service"] == "s" &&
                line["dispatched"] == true && line["deadline_ms"] == 60'000,
            "%s", line.dump().c_str());
  released = true;
  released.notify_all();
  raise(SIGTERM);
  cr_expect_eq(fixture.Join(), 0);
}

// Guards against a second SIGTERM in the last milliseconds of a stop that ends
// the process by the signal, so that the stop counts as a fault.
Test(control_task, signal_after_the_end_of_a_stop_is_ignored) {
  {
    NodeFixture fixture(RespondLate);
    raise(SIGTERM);
    cr_expect_eq(fixture.Join(), 0);
  }
  raise(SIGTERM);
  raise(SIGINT);
}

// Guards against malformed admin requests that terminate the process, and
// against responses without the fields that operators and the tool read.
Test(control_task, admin_port_rejects_malformed_requests_and_shows_the_node) {
  NodeFixture fixture(RespondLate);
  for (const std::string& bytes :
       {std::string("\0\1\2\r\n\r\n", 7), std::string("GET /status\r\n\r\n"),
        std::string("GET /%zz?=& HTTP/1.1\r\n\r\n"),
        "GET / HTTP/1.1\r\nx: " + std::string(50'000, 'x') + "\r\n\r\n",
        std::string("POST /announce HTTP/1.1\r\ncontent-length: -5\r\n\r\n"),
        std::string("POST /announce HTTP/1.1\r\ncontent-length: 9\r\n\r\n{")}) {
    const Socket socket(fixture.address(), 7004);
    socket.Send(bytes);
    cr_expect_neq(socket.Receive(Milliseconds(100)).status, 200);
  }
  cr_expect_eq(fixture.Request(7004, "PUT", "/status").status, 405);
  cr_expect_eq(
      fixture.Request(7004, "POST", "/announce", "", std::string(5000, ' '))
          .status,
      413);
  cr_expect_eq(fixture.Request(7004, "GET", "/status").status, 401);
  cr_expect_eq(fixture.Request(7004, "GET", "/healthz").status, 200);
  const auto status = nlohmann::json::parse(fixture.Admin("/status").body);
  cr_expect(
      status["node"] == "n1" && status["in_force"] == true &&
      status["version"] == 1 && status["refused"].is_null() &&
      status["speaker"] == true && status["store"]["contact"] == "in_contact" &&
      status["versions"].size() == 1 && status["record"]["state"] == "ready");
  const auto nodes = nlohmann::json::parse(fixture.Admin("/nodes").body);
  cr_expect(nodes["nodes"].size() == 1 &&
            nodes["nodes"][0]["liveness"] == "alive" &&
            nodes["nodes"][0]["admin_port"] == 7004);
  const auto table = nlohmann::json::parse(fixture.Admin("/table").body);
  cr_expect(table["rows"][0]["service"] == "s");
  const std::string metrics = fixture.Admin("/metrics").body;
  for (const char* line :
       {"\ndragonflytack_table_version 1\n", "\ndragonflytack_speaker 1\n",
        "\ndragonflytack_resident_bytes ",
        "\ndragonflytack_store_calls_total{operation=\"get\"} "}) {
    cr_expect(metrics.find(line) != std::string::npos, "%s", line);
  }
  raise(SIGTERM);
  cr_expect_eq(fixture.Join(), 0);
}

// Guards against a daemon that ignores the trace collector in its settings.
Test(control_task, exports_spans_to_the_collector) {
  NodeFixture fixture(RespondLate);
  cr_expect_eq(fixture.BeginCall()->Receive(kReceiveTimeout).status, 200);
  std::string metrics;
  bool exported = false;
  for (int i = 0; i < 100 && !exported; ++i) {
    std::this_thread::sleep_for(Milliseconds(50));
    metrics = fixture.Admin("/metrics").body;
    const size_t at = metrics.find("\ndragonflytack_spans_exported_total ");
    exported = at != std::string::npos &&
               metrics.find("\ndragonflytack_spans_exported_total 0\n") ==
                   std::string::npos;
  }
  cr_expect(exported, "%s", metrics.c_str());
  raise(SIGTERM);
  cr_expect_eq(fixture.Join(), 0);
}

// Guards against a store that is reported as unreachable long after an outage:
// without a change, a watch request gets its response only after 30 s.
Test(control_task, tracks_store_contact_through_an_outage) {
  NodeFixture fixture(RespondLate);
  const auto wait_for = [&](const char* contact) {
    for (int i = 0; i < 400; ++i) {
      const auto status = nlohmann::json::parse(fixture.Admin("/status").body);
      if (status["store"]["contact"] == contact) {
        return true;
      }
      std::this_thread::sleep_for(Milliseconds(20));
    }
    return false;
  };
  cr_assert(wait_for("in_contact"));
  fixture.Request(7007, "POST", "/admin/faults?outage=refuse");
  cr_assert(wait_for("out_of_contact"));
  fixture.Request(7007, "POST", "/admin/faults?outage=off");
  cr_expect(wait_for("in_contact"));
  raise(SIGTERM);
  cr_expect_eq(fixture.Join(), 0);
}

// Guards against edits whose convergence time is not measured, refused versions
// that are not counted, and routes that lack the field for the reason why an
// endpoint is excluded.
Test(control_task, measures_convergence_and_refusals) {
  NodeFixture fixture(RespondLate);
  const auto wait_for_metric = [&](const char* line) {
    for (int i = 0; i < 250; ++i) {
      if (fixture.Admin("/metrics").body.find(line) != std::string::npos) {
        return true;
      }
      std::this_thread::sleep_for(Milliseconds(20));
    }
    return false;
  };
  const int64_t edit_ms = SystemClock().WallMillis() - 3000;
  fixture.Request(
      7006, "PUT", "/v1/objects/table", "x-if-version: 1\r\n",
      fmt::format(R"({{"rows":[{{"service":"s","kind":"idempotent"}}],)"
                  R"("recent":[{{"edit_id":"{}","author":"a",)"
                  R"("time_ms":{},"cells":[]}}]}})",
                  std::string(32, 'a'), edit_ms));
  cr_assert(wait_for_metric("\ndragonflytack_convergence_seconds_count 1\n"));
  const std::string metrics = fixture.Admin("/metrics").body;
  const std::string sum = "\ndragonflytack_convergence_seconds_sum ";
  const double seconds =
      std::stod(metrics.substr(metrics.find(sum) + sum.size()));
  cr_expect(seconds >= 3 && seconds < 8, "%f", seconds);
  cr_expect(metrics.find("\ndragonflytack_refused_tables_total 0\n") !=
            std::string::npos);
  const std::string routes = fixture.Admin("/routes?service=s").body;
  const auto endpoint = nlohmann::json::parse(routes)["endpoints"][0];
  cr_expect(endpoint["left_out"] == "");
  // The store numbers all writes, including those of the seed list.
  const std::string version =
      fixture.Request(7006, "GET", "/v1/objects/table").Header("x-version");
  fixture.Request(7006, "PUT", "/v1/objects/table",
                  "x-if-version: " + version + "\r\n", R"({"rows":[{}]})");
  cr_expect(wait_for_metric("\ndragonflytack_refused_tables_total 1\n"));
  cr_expect(wait_for_metric("\ndragonflytack_convergence_seconds_count 1\n"));
  raise(SIGTERM);
  cr_expect_eq(fixture.Join(), 0);
}

// Guards against a SIGHUP, with valid or invalid settings, that terminates the
// process or interrupts the serving of calls.
Test(control_task, sighup_reloads_settings_and_keeps_serving_calls) {
  NodeFixture fixture([](int fd, const std::string&, int) {
    return ScriptedTarget::Respond(fd, "ok");
  });
  for (int i = 1; i <= 2; ++i) {
    cr_assert_eq(kill(getpid(), SIGHUP), 0);
    for (int wait = 0; wait < 1000 && fixture.reloads() < i; ++wait) {
      std::this_thread::sleep_for(Milliseconds(2));
    }
    cr_assert_eq(fixture.reloads(), i);
    cr_expect_eq(fixture.Request(7001, "GET", "/s/x").status, 200);
    cr_expect_eq(fixture.Request(7008, "GET", "/ready").status, 200);
  }
  cr_assert_eq(kill(getpid(), SIGTERM), 0);
  cr_assert_eq(fixture.Join(), 0);
}

// Guards against a stopping node that closes its call port while callers are
// still directed to it, and against one that stays up after two unready
// responses have stopped that.
Test(control_task, accepts_calls_until_two_unready_responses) {
  NodeFixture fixture([](int fd, const std::string&, int) {
    return ScriptedTarget::Respond(fd, "ok");
  });
  cr_assert_eq(fixture.Request(7008, "GET", "/ready").status, 200);
  cr_assert_eq(kill(getpid(), SIGTERM), 0);
  HttpReply ready;
  for (int i = 0; i < 100 && ready.status != 503; ++i) {
    ready = fixture.Request(7008, "GET", "/ready");
  }
  cr_expect_eq(ready.status, 503);
  // The local target of a stopping node gets no more calls. It is the only
  // target of the service, so the call is refused, but it gets a response.
  const HttpReply reply = fixture.Request(7001, "GET", "/s/x");
  cr_expect_eq(reply.status, 503, "%d", reply.status);
  ExpectEqual(reply.Header("x-outcome"), "not-run");
  cr_expect_eq(fixture.Request(7008, "GET", "/ready").status, 503);
  cr_assert_eq(fixture.Join(), 0);
}

}  // namespace dragonflytack
