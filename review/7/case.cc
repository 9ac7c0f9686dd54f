// The open connections to the store go silent just as a configuration is
// acknowledged. See claim.txt.
#include <algorithm>
#include <cstdio>
#include <map>
#include <memory>
#include <mutex>
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
constexpr double kConfigApply = 2.0;
// Time between two versions, as in a quick succession of configurations.
constexpr double kGap = 0.33;

constexpr char kAdded[] = "/added/";

json Route(const std::string& name,
           const std::string& prefix,
           const std::string& service) {
  return {name, "book.example", prefix, "unsafe", "1200ms", "300ms", 1,
          1,    service};
}

struct Sent {
  std::string id;
  double time;
  int status;
  bool is_added;
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
                     "127.46.7." + std::to_string(i + 1),
                     region + (i % 2 == 0 ? "-a" : "-b"), region,
                     i % 2 == 0 ? "old" : "new"});
    ips.push_back(nodes.back().ip);
  }
  const uint16_t base = review::FreeBasePort(ips, 12);
  review::Store store({"127.46.7.100", base}, &record);
  store.WriteConfiguration(review::MakeConfiguration(
      1, {"old", "new"}, {Route("r-book", "/book/", "old")}));
  std::vector<std::unique_ptr<Machine>> machines;
  for (const auto& node : nodes) {
    machines.push_back(std::make_unique<Machine>(node, base, store.address(),
                                                 folder, &runs, &record));
    machines.back()->StartEndpoint();
    machines.back()->StartDaemon();
  }
  review::AwaitReady(machines, 20);
  review::Sleep(6);

  std::mutex mutex;
  std::vector<Sent> sent;
  bool ended = false;
  std::vector<std::thread> clients;
  for (const auto& machine : machines) {
    clients.emplace_back([&, to = machine->outbound()] {
      // Every fourth request is on the route that the last version adds.
      for (int count = 1;; ++count) {
        const bool is_added = count % 4 == 0;
        {
          const std::lock_guard lock(mutex);
          if (ended) {
            return;
          }
        }
        const std::string id = review::NewId();
        const std::string path =
            is_added ? std::string(kAdded) + "1" : "/book/1";
        const Answer answer = review::Call(to, "POST", "book.example", path, id,
                                           1200, "a booking");
        record.Line("answer " + id + " " + std::to_string(answer.status));
        {
          const std::lock_guard lock(mutex);
          sent.push_back({id, answer.sent, answer.status, is_added});
        }
        review::Sleep(0.05);
      }
    });
  }
  review::Sleep(3);
  store.WriteConfiguration(review::MakeConfiguration(
      3, {"old", "new"}, {Route("r-book", "/book/", "old")}));
  review::Sleep(kGap);
  if (review::HasTrouble()) {
    record.Line("all open connections to the store go silent");
    for (const auto& machine : machines) {
      machine->store_relay().SilenceOpenConnections();
    }
  }
  const double silence = Now();
  store.WriteConfiguration(review::MakeConfiguration(
      7, {"old", "new"},
      {Route("r-book", "/book/", "new"), Route("r-added", kAdded, "new")}));
  const double acknowledged = Now();
  review::Sleep(8);
  {
    const std::lock_guard lock(mutex);
    ended = true;
  }
  for (std::thread& client : clients) {
    client.join();
  }

  // The machines are in touch again one settle_window after the connections
  // went silent.
  const double bound =
      std::max(silence + kSettleWindow, acknowledged + kConfigApply);
  std::map<std::string, std::string> run_by;
  for (const review::Run& run : runs.All()) {
    run_by[run.id] = run.service;
  }
  int judged = 0;
  int by_old = 0;
  int refused = 0;
  double last = 0;
  for (const Sent& request : sent) {
    if (request.time <= bound) {
      continue;
    }
    ++judged;
    const bool is_old = run_by[request.id] == "old";
    const bool is_refused = request.is_added && request.status == 404;
    by_old += is_old ? 1 : 0;
    refused += is_refused ? 1 : 0;
    if (is_old || is_refused) {
      last = std::max(last, request.time);
      record.Line("broken: " + request.id + " was sent " +
                  std::to_string(request.time - acknowledged) +
                  " s after the acknowledgement and " +
                  (is_old ? "run by the old service" : "got 404"));
    }
  }
  const int late = by_old + refused;
  const std::string summary =
      "of " + std::to_string(judged) +
      " requests that were sent after the bound " + std::to_string(by_old) +
      " were run by the old service and " + std::to_string(refused) +
      " got 404; the last one was sent " +
      std::to_string(late > 0 ? last - acknowledged : 0) +
      " s after the acknowledgement";
  record.Line(summary);
  std::printf("%s\n", summary.c_str());
  review::Exit(machines, judged == 0 ? 2 : late > 0 ? 1 : 0);
}
