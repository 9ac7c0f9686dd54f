// A node that has acknowledged that its endpoint leaves is killed and started
// again, and a liveness report from before arrives late. See claim.txt.
#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "../common-2/fleet.h"

namespace {

using nlohmann::json;
using review::Answer;
using review::Machine;
using review::Now;

constexpr double kSettleWindow = 3.0;
constexpr double kDrain = 2.0;
// How late the liveness report arrives.
constexpr double kLateness = 2.0;
// How long the endpoint serves after the acknowledgement.
constexpr double kServedAfter = 7.0;
constexpr int kDeadlineMs = 1200;

json Route() {
  return {"r-pay", "pay.example", "/pay/", "unsafe", "1200ms", "200ms", 0,
          1,       "payroll"};
}

struct Sent {
  std::string id;
  double time;
};

}  // namespace

int main(int argc, char** argv) {
  const std::string folder = argc > 1 ? argv[1] : "/tmp";
  review::Record record(argc > 2 ? argv[2] : "record.txt");
  review::Runs runs;
  std::vector<review::NodeOptions> nodes;
  std::vector<std::string> ips;
  for (int i = 0; i < 6; ++i) {
    const std::string region = "region-" + std::to_string(i / 2);
    nodes.push_back({"node-" + std::to_string(i),
                     "127.46.8." + std::to_string(i + 1),
                     region + (i % 2 == 0 ? "-a" : "-b"), region, "payroll"});
    ips.push_back(nodes.back().ip);
  }
  const uint16_t base = review::FreeBasePort(ips, 12);
  review::Store store({"127.46.8.100", base}, &record);
  store.WriteConfiguration(
      review::MakeConfiguration(1, {"payroll"}, {Route()}));
  std::vector<std::unique_ptr<Machine>> machines;
  for (const auto& node : nodes) {
    machines.push_back(std::make_unique<Machine>(node, base, store.address(),
                                                 folder, &runs, &record));
    machines.back()->set_work([](const review::Message&) {
      review::Sleep(0.1);
      return std::string();
    });
    machines.back()->StartEndpoint();
    machines.back()->StartDaemon();
  }
  review::AwaitReady(machines, 20);
  review::Sleep(6);

  std::mutex mutex;
  std::vector<Sent> sent;
  std::atomic<bool> ended{false};
  std::vector<std::thread> clients;
  for (const auto& machine : machines) {
    clients.emplace_back([&, at = machine.get(), to = machine->outbound()] {
      while (!ended) {
        // The clients beside a node that is not ready go elsewhere.
        if (!at->IsReady()) {
          review::Sleep(0.2);
          continue;
        }
        const std::string id = review::NewId();
        const Answer answer = review::Call(to, "POST", "pay.example", "/pay/1",
                                           id, kDeadlineMs, "wages");
        record.Line("answer " + id + " " + std::to_string(answer.status));
        {
          const std::lock_guard lock(mutex);
          sent.push_back({id, answer.sent});
        }
        review::Sleep(0.01);
      }
    });
  }
  review::Sleep(2);
  Machine& leaving = *machines[0];
  leaving.StopHeartbeats();
  // Sent now, and held up on its way.
  const std::string late_report = leaving.MakeHeartbeat("ready");
  const double reported = Now();
  review::Sleep(0.2);
  const int status = leaving.Deregister();
  const double acknowledged = Now();
  record.Line("node-0 answers " + std::to_string(status) +
              " to the deregistration of its endpoint");
  if (status / 100 != 2) {
    review::Exit(machines, 2);
  }
  double restarted = acknowledged;
  if (review::HasTrouble()) {
    review::Sleep(0.2);
    record.Line("node-0 is killed");
    leaving.StopDaemon();
    review::Sleep(0.3);
    leaving.StartDaemon();
    restarted = Now();
    record.Line("node-0 starts again");
  }
  review::SleepUntil(reported + kLateness);
  record.Line("the late liveness report gets " +
              std::to_string(leaving.SendReport("heartbeat", late_report)));
  // The endpoint serves for some more seconds, then it exits.
  review::SleepUntil(acknowledged + kServedAfter);
  const std::set<std::string> at_work = leaving.EndEndpoint();
  for (const std::string& id : at_work) {
    record.Line("the endpoint exits while it runs " + id);
  }
  review::Sleep(2);
  ended = true;
  for (std::thread& client : clients) {
    client.join();
  }
  const double bound =
      std::max(acknowledged + kDrain, restarted + kSettleWindow);
  int late = 0;
  int judged = 0;
  double last = 0;
  const std::vector<review::Run> all = runs.All();
  for (const Sent& request : sent) {
    if (request.time <= bound) {
      continue;
    }
    ++judged;
    const auto run = std::find_if(all.begin(), all.end(), [&](const auto& r) {
      return r.id == request.id;
    });
    if (run != all.end() && run->endpoint == leaving.instance()) {
      ++late;
      last = std::max(last, run->time);
      record.Line("broken: " + request.id +
                  " reaches the endpoint that has left, " +
                  std::to_string(run->time - acknowledged) +
                  " s after the acknowledgement");
    }
  }
  const std::string summary =
      std::to_string(late) + " of " + std::to_string(judged) +
      " requests that were sent after the bound reached the endpoint that had "
      "left, the last one " +
      std::to_string(late > 0 ? last - acknowledged : 0) +
      " s after the acknowledgement; it exited while it ran " +
      std::to_string(at_work.size());
  record.Line(summary);
  std::printf("%s\n", summary.c_str());
  review::Exit(machines, judged == 0 ? 2 : late > 0 ? 1 : 0);
}
