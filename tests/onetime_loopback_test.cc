#include <sys/socket.h>
#include <algorithm>
#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <criterion/criterion.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "call_fixture.h"
#include "calls/native_header_codec.h"
#include "calls/service_addressing.h"
#include "dragonflytack/base/event_loop.h"
#include "dragonflytack/base/wakeup.h"
#include "store/store_standin.h"

namespace dragonflytack {

namespace {

constexpr int kNodes = 4;

// Runs a store stand-in on its own thread.
class StoreThread final {
 public:
  explicit StoreThread(const std::string& address) {
    Failure reason;
    standin_ = StoreStandin::Make(loop_.get(), {address, 7010}, {}, &reason);
    cr_assert(standin_ != nullptr, "%s", reason.ToString().c_str());
    thread_ = std::thread([this] { loop_->Run(); });
  }
  ~StoreThread() {
    loop_->Stop();
    thread_.join();
  }
  void Set(const std::string& fault, const std::string& value) {
    Run([&] {
      StoreFaults faults;
      cr_assert(fault.empty() || faults.Set(fault, value));
      cr_assert(standin_->SetFaults(faults));
    });
  }
  void ReturnFromCopy(Milliseconds age) {
    Run([&] { standin_->ReturnFromCopy(age); });
  }

 private:
  // Runs the action on the thread of the store.
  void Run(const std::function<void()>& action) {
    std::atomic<bool> done = false;
    Wakeup wakeup(loop_.get(), [&] {
      action();
      done = true;
    });
    wakeup.Signal();
    while (!done) {
      std::this_thread::sleep_for(Milliseconds(1));
    }
  }

  SystemClock clock_;
  std::unique_ptr<EventLoop> loop_ = EventLoop::Make(&clock_);
  std::unique_ptr<StoreStandin> standin_;
  std::thread thread_;
};

// Four nodes, each an entry node and an owner of keys, each with a target that
// counts how often each action ran. The snapshot follows stops and crashes.
class OneTimeFixture final {
 public:
  explicit OneTimeFixture(Milliseconds target_time = Milliseconds(5))
      : target_time_(target_time), store_(Address(kNodes)) {
    for (int i = 0; i < kNodes; ++i) {
      targets_.push_back(std::make_unique<ScriptedTarget>(
          Address(i), CallFixture::kTargetPort,
          [this](int fd, const std::string& head, int) {
            return Serve(fd, head);
          }));
      nodes_.push_back(std::make_unique<Node>(Name(i)));
      Start(i);
    }
    Publish();
  }

  static std::string Name(int node) { return fmt::format("n{}", node); }
  static std::string Address(int node) { return LoopbackAddress(node); }
  StoreThread& store() { return store_; }
  std::atomic<bool>& lose_responses() { return lose_responses_; }

  std::string NewKey(int node) const {
    const Socket socket(Address(node), CallFixture::kCallPort);
    socket.Send(
        "POST /-/keys HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n");
    const HttpReply reply = socket.Receive(Milliseconds(2000));
    const auto json = nlohmann::json::parse(reply.body, nullptr, false);
    return json.is_object() && json.contains("key") ? json.value("key", "")
                                                    : "";
  }

  HttpReply Call(int node,
                 const std::string& id,
                 const std::string& key,
                 int deadline_ms = 2000) const {
    const Socket socket(Address(node), CallFixture::kCallPort);
    if (socket.fd() < 0) {
      return {};
    }
    socket.Send(Request(id, key, deadline_ms));
    return socket.Receive(Milliseconds(deadline_ms + 1000));
  }

  static std::string Request(const std::string& id,
                             const std::string& key,
                             int deadline_ms) {
    return fmt::format(
        "POST /s/book/{} HTTP/1.1\r\nHost: h\r\nx-deadline-ms: {}\r\n"
        "idempotency-key: {}\r\nContent-Length: {}\r\n\r\n{}",
        id, deadline_ms, key, id.size(), id);
  }

  int Executions(const std::string& id) {
    std::lock_guard<std::mutex> lock(mutex_);
    return executions_[id];
  }

  // Performs a planned stop in the same order as the daemon. Returns the
  // successor.
  NodeId Stop(int node) {
    {
      std::lock_guard<std::mutex> lock(mutex_);
      states_[node] = TargetState::kDraining;
    }
    Publish();
    nodes_[node]->task->PostStop();
    for (int i = 0; i < 1000 && !nodes_[node]->stopped; ++i) {
      std::this_thread::sleep_for(Milliseconds(5));
    }
    cr_assert(nodes_[node]->stopped);
    {
      std::lock_guard<std::mutex> lock(mutex_);
      states_[node] = TargetState::kLeft;
      if (!nodes_[node]->successor.empty()) {
        successors_[{Name(node), 1}] = nodes_[node]->successor;
      }
    }
    Publish();
    nodes_[node]->task.reset();
    return nodes_[node]->successor;
  }

  // Ends the process of a node, which remains in the snapshot.
  void Kill(int node) { nodes_[node]->task.reset(); }

  // Ends a node. Returns the calls that were cut off there.
  CallTask::CutOffCalls End(int node) { return nodes_[node]->task->End(); }

  void Crash(int node) {
    {
      std::lock_guard<std::mutex> lock(mutex_);
      states_[node] = TargetState::kLeft;
    }
    nodes_[node]->task.reset();
    Publish();
  }

 private:
  struct Node {
    explicit Node(const std::string& name)
        : logger(&clock, LogLevel::kError, name), tracer(0, 1) {}
    SystemClock clock;
    Logger logger;
    MetricsRegistry metrics;
    Tracer tracer;
    std::atomic<bool> stopped = false;
    NodeId successor;
    std::unique_ptr<CallTask> task;
  };

  void Start(int i) {
    Settings settings;
    settings.node_id = Name(i);
    settings.region = "r";
    settings.data_centre = "d";
    settings.address = Address(i);
    settings.call_port = CallFixture::kCallPort;
    settings.mesh_port = CallFixture::kMeshPort;
    settings.shared_key = "key of the test";
    settings.store = {Address(kNodes), 7010};
    settings.store_timeout_ms = 200;
    Node* node = nodes_[i].get();
    CallTask::Events events;
    events.on_stopped = [node](const NodeId& successor,
                               const CallTask::CutOffCalls&) {
      node->successor = successor;
      node->stopped = true;
    };
    events.on_takeover = [this, i](const NodeId& owner, uint64_t incarnation) {
      std::lock_guard<std::mutex> lock(mutex_);
      successors_[{owner, incarnation}] = Name(i);
    };
    Failure reason;
    node->task = CallTask::Make(settings,
                                {std::make_shared<NativeHeaderCodec>(),
                                 std::make_shared<ServiceAddressing>(),
                                 /*has_one_time_keys=*/true},
                                1, &node->clock, &node->logger, &node->metrics,
                                &node->tracer, std::move(events), &reason);
    cr_assert(node->task != nullptr, "%s", reason.ToString().c_str());
    node->task->PostTarget(
        {"s", Address(i), CallFixture::kTargetPort, TargetState::kReady, 0});
  }

  void Publish() {
    auto route = std::make_shared<ServiceRoute>();
    route->row.service = "s";
    route->row.kind = ServiceKind::kOneTime;
    auto routes = std::make_shared<RouteSnapshot>();
    auto locations =
        std::make_shared<std::unordered_map<NodeId, NodeLocation>>();
    {
      std::lock_guard<std::mutex> lock(mutex_);
      routes->version = ++version_;
      routes->successors =
          std::make_shared<const std::map<std::pair<NodeId, uint64_t>, NodeId>>(
              successors_);
      for (int i = 0; i < kNodes; ++i) {
        Endpoint endpoint;
        endpoint.record.id = Name(i);
        endpoint.record.incarnation = 1;
        endpoint.record.region = "r";
        endpoint.record.data_centre = "d";
        endpoint.record.address = Address(i);
        endpoint.record.mesh_port = CallFixture::kMeshPort;
        endpoint.record.service = "s";
        endpoint.record.state = states_[i];
        route->endpoints.push_back(endpoint);
        if (states_[i] != TargetState::kLeft) {
          (*locations)[Name(i)] = {Name(i), 1, Address(i),
                                   CallFixture::kMeshPort, Liveness::kAlive};
        }
      }
    }
    routes->services["s"] = route;
    routes->nodes = locations;
    for (auto& node : nodes_) {
      if (node->task != nullptr) {
        node->task->PostRoutes(routes);
      }
    }
    // Gives the loops time to process their mailboxes.
    std::this_thread::sleep_for(Milliseconds(20));
  }

  bool Serve(int fd, const std::string& head) {
    const size_t begin = head.find("/book/") + 6;
    const std::string id = head.substr(begin, head.find(' ', begin) - begin);
    {
      std::lock_guard<std::mutex> lock(mutex_);
      ++executions_[id];
    }
    std::this_thread::sleep_for(target_time_);
    return !lose_responses_ && ScriptedTarget::Respond(fd, "booked " + id);
  }

  const Milliseconds target_time_;
  StoreThread store_;
  std::mutex mutex_;
  std::map<std::string, int> executions_;
  std::map<std::pair<NodeId, uint64_t>, NodeId> successors_;
  TargetState states_[kNodes] = {TargetState::kReady, TargetState::kReady,
                                 TargetState::kReady, TargetState::kReady};
  uint64_t version_ = 0;
  std::atomic<bool> lose_responses_ = false;
  std::vector<std::unique_ptr<ScriptedTarget>> targets_;
  std::vector<std::unique_ptr<Node>> nodes_;
};

void ExpectResponse(const HttpReply& reply,
                    int status,
                    const std::string& outcome,
                    const std::string& reason,
                    const std::string& scope) {
  cr_expect(reply.status == status && reply.Header("x-outcome") == outcome &&
                reply.Header("x-reason") == reason &&
                reply.Header("x-not-run-scope") == scope,
            "%d %s\n%s", reply.status, reply.head.c_str(), reply.body.c_str());
}

}  // namespace

// Guards against two executions when a caller presents a key at several nodes
// at once, with an issued key and a key chosen by the caller.
Test(onetime_loopback, same_key_at_several_nodes_at_once_runs_once) {
  OneTimeFixture fixture(Milliseconds(50));
  for (const std::string& key :
       {fixture.NewKey(1), std::string("invented-by-caller")}) {
    HttpReply replies[kNodes];
    std::vector<std::thread> callers;
    for (int i = 0; i < kNodes; ++i) {
      callers.emplace_back(
          [&, i] { replies[i] = fixture.Call(i, key.substr(0, 8), key); });
    }
    for (std::thread& caller : callers) {
      caller.join();
    }
    for (const HttpReply& reply : replies) {
      ExpectResponse(reply, 200, "done", "", "");
      cr_expect(reply.body == "booked " + key.substr(0, 8));
      // A header between nodes.
      ExpectEqual(reply.Header("x-one-time-key"), "");
    }
    cr_expect_eq(fixture.Executions(key.substr(0, 8)), 1);
  }
}

// Guards against a refusal of another key, sent once more on the connection
// between two nodes, that makes a call that runs be reported as not run.
Test(onetime_loopback, refusal_of_another_key_is_no_proof) {
  for (const bool has_key : {true, false}) {
    OneTimeFixture fixture;
    const std::string keys[] = {fixture.NewKey(1), fixture.NewKey(1)};
    fixture.Kill(1);
    std::string refusal;
    ScriptedTarget owner(
        OneTimeFixture::Address(1), CallFixture::kMeshPort,
        [&](int fd, const std::string& head, int n) {
          const std::string end =
              "x-one-time-key: " +
              HttpReply{0, head, "", Milliseconds(0)}.Header("x-one-time-key") +
              "\r\n\r\n";
          std::string text =
              "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nx-outcome: done\r\n" +
              end;
          if (n == 1) {
            text =
                "HTTP/1.1 503 x\r\nContent-Length: 0\r\nx-outcome: not-run\r\n"
                "x-reason: refused_by_targets\r\nx-not-run-scope: key\r\n";
            refusal = text + (has_key ? end : "\r\n");
            text += end;
          } else if (n == 2) {
            text.insert(0, refusal);
          }
          send(fd, text.data(), text.size(), MSG_NOSIGNAL);
          return true;
        });
    ExpectResponse(fixture.Call(0, "a", keys[0]), 503, "not-run",
                   "refused_by_targets", "key");
    ExpectResponse(fixture.Call(0, "b", keys[1]), 200, "done", "", "");
  }
}

// Guards against an action that runs again, or whose result is lost, when the
// response does not reach the caller.
Test(onetime_loopback, lost_response_is_recovered_by_the_same_key) {
  OneTimeFixture fixture(Milliseconds(100));
  const std::string key = fixture.NewKey(2);
  {
    const Socket socket(OneTimeFixture::Address(0), CallFixture::kCallPort);
    socket.Send(OneTimeFixture::Request("a", key, 2000));
    std::this_thread::sleep_for(Milliseconds(30));
  }
  const HttpReply repeated = fixture.Call(1, "a", key);
  ExpectResponse(repeated, 200, "done", "", "");
  cr_expect(repeated.body == "booked a");
  cr_expect_eq(fixture.Executions("a"), 1);
  ExpectResponse(fixture.Call(1, "b", key), 422, "not-run", "key_reused",
                 "request");
  // The target closes its connection without a response.
  fixture.lose_responses() = true;
  const std::string lost = fixture.NewKey(2);
  ExpectResponse(fixture.Call(0, "c", lost), 504, "unknown", "upstream_failed",
                 "");
  fixture.lose_responses() = false;
  ExpectResponse(fixture.Call(1, "c", lost), 504, "unknown", "answer_lost", "");
  cr_expect_eq(fixture.Executions("c"), 1);
}

// Guards against calls that end as unknown because of a planned stop, and
// against lost records. Two nodes stop, so records are handed over twice.
Test(onetime_loopback, planned_stop_under_load_loses_no_response) {
  OneTimeFixture fixture;
  std::atomic<bool> running = true;
  std::atomic<int> done = 0;
  std::atomic<int> other = 0;
  std::mutex mutex;
  std::string first_other;
  std::vector<std::pair<std::string, std::string>> used;
  std::vector<std::thread> callers;
  for (int caller = 0; caller < 6; ++caller) {
    callers.emplace_back([&, caller] {
      for (int i = 0; running; ++i) {
        // Uses keys of all nodes at entry nodes that are not stopped.
        const std::string key = fixture.NewKey(i % kNodes);
        const std::string id = fmt::format("{}-{}", caller, i);
        if (key.empty()) {
          continue;
        }
        const HttpReply reply = fixture.Call(2 + i % 2, id, key);
        const bool is_done =
            reply.Header("x-outcome") == "done" && reply.body == "booked " + id;
        done += is_done ? 1 : 0;
        std::lock_guard<std::mutex> lock(mutex);
        if (is_done) {
          used.emplace_back(id, key);
        } else if (reply.Header("x-outcome") != "not-run") {
          ++other;
          first_other = reply.head + reply.body;
        }
      }
    });
  }
  std::this_thread::sleep_for(Milliseconds(300));
  const NodeId first = fixture.Stop(0);
  std::this_thread::sleep_for(Milliseconds(100));
  const NodeId second = fixture.Stop(1);
  std::this_thread::sleep_for(Milliseconds(200));
  running = false;
  for (std::thread& caller : callers) {
    caller.join();
  }
  cr_expect(!first.empty() && !second.empty());
  cr_expect_eq(other, 0, "%d of %d, last: %s", other.load(), done.load(),
               first_other.c_str());
  cr_expect_gt(done, 100);
  for (const auto& [id, key] : used) {
    const HttpReply repeated = fixture.Call(3, id, key);
    cr_expect(repeated.Header("x-outcome") == "done" &&
                  repeated.body == "booked " + id,
              "%s\n%s", key.c_str(), repeated.head.c_str());
    cr_expect_eq(fixture.Executions(id), 1);
  }
}

// Guards against a new call that is refused, or runs twice, because the owner
// of its key is stopping.
Test(onetime_loopback, new_call_waits_for_the_handover_of_its_owner) {
  OneTimeFixture fixture(Milliseconds(300));
  const std::string running = fixture.NewKey(0);
  const std::string fresh = fixture.NewKey(0);
  HttpReply first;
  std::thread caller([&] { first = fixture.Call(3, "a", running); });
  std::this_thread::sleep_for(Milliseconds(50));
  std::thread stop([&] { fixture.Stop(0); });
  std::this_thread::sleep_for(Milliseconds(50));
  ExpectResponse(fixture.Call(3, "b", fresh), 200, "done", "", "");
  caller.join();
  stop.join();
  ExpectResponse(first, 200, "done", "", "");
  cr_expect_eq(fixture.Executions("a"), 1);
  cr_expect_eq(fixture.Executions("b"), 1);
}

// Guards against a cut-off that reports a call with a key as not run although
// its owner runs it: at the entry node, which forwarded it, and at the owner.
Test(onetime_loopback, cut_off_call_with_a_key_is_unknown) {
  for (const int cut_off : {0, 1}) {
    OneTimeFixture fixture(Milliseconds(500));
    const std::string key = fixture.NewKey(1);
    HttpReply reply;
    std::thread caller([&] { reply = fixture.Call(0, "a", key, 5000); });
    while (fixture.Executions("a") == 0) {
      std::this_thread::sleep_for(Milliseconds(2));
    }
    const CallTask::CutOffCalls calls = fixture.End(cut_off);
    caller.join();
    ExpectResponse(reply, 504, "unknown", "stopping", "");
    cr_expect_eq(fixture.Executions("a"), 1);
    cr_expect_eq(calls.entry, cut_off == 0);
    cr_expect_eq(calls.keyed, cut_off == 1);
  }
}

// Guards against another node that responds on behalf of an owner that crashed.
Test(onetime_loopback, calls_with_keys_of_a_crashed_owner_are_unknown) {
  OneTimeFixture fixture;
  const std::string key = fixture.NewKey(1);
  ExpectResponse(fixture.Call(0, "a", key), 200, "done", "", "");
  fixture.Crash(1);
  ExpectResponse(fixture.Call(0, "a", key), 504, "unknown", "home_gone", "");
  cr_expect_eq(fixture.Executions("a"), 1);
}

// Guards against calls with a key chosen by the caller that run without a
// claim, or twice, when the store fails, and against issued keys that depend on
// the store.
Test(onetime_loopback, store_faults_and_invalid_keys_cause_no_extra_runs) {
  OneTimeFixture fixture;
  fixture.store().Set("outage", "refuse");
  ExpectResponse(fixture.Call(0, "a", "invented-a"), 503, "not-run",
                 "store_unavailable", "request");
  ExpectResponse(fixture.Call(0, "b", fixture.NewKey(1)), 200, "done", "", "");
  // The claim ID shows that the write took effect although its response was
  // lost.
  fixture.store().Set("lose_answers", "1");
  ExpectResponse(fixture.Call(0, "c", "invented-c"), 200, "done", "", "");
  fixture.store().Set("", "");
  ExpectResponse(fixture.Call(1, "c", "invented-c"), 200, "done", "", "");
  ExpectResponse(fixture.Call(2, "c", "invented-c"), 200, "done", "", "");
  ExpectResponse(fixture.Call(0, "a", "invented-a"), 200, "done", "", "");
  for (const char* id : {"a", "b", "c"}) {
    cr_expect_eq(fixture.Executions(id), 1);
  }
  ExpectResponse(fixture.Call(0, "d", "short"), 400, "not-run", "invalid_key",
                 "request");
  ExpectResponse(fixture.Call(0, "d", "dt1.n1.1.2.3"), 400, "not-run",
                 "invalid_key", "request");
  std::string forged = fixture.NewKey(1);
  forged.back() = forged.back() == '0' ? '1' : '0';
  ExpectResponse(fixture.Call(0, "d", forged), 504, "unknown",
                 "key_not_authentic", "");
  cr_expect_eq(fixture.Executions("d"), 0);
}

// Guards against a second run of a call with a key chosen by the caller, after
// the store has returned from a copy without the claim of the key.
Test(onetime_loopback,
     claim_lost_by_a_return_of_the_store_causes_no_second_run) {
  OneTimeFixture fixture;
  ExpectResponse(fixture.Call(0, "a", "invented-a"), 200, "done", "", "");
  fixture.store().ReturnFromCopy(Milliseconds(30'000));
  fixture.Call(1, "a", "invented-a");
  fixture.Call(2, "a", "invented-a");
  cr_expect_eq(fixture.Executions("a"), 1);
}

}  // namespace dragonflytack
