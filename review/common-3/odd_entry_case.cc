// An entry of another writer stands in the store where the nodes keep the
// addresses of their peers, when all processes are killed.
#include "odd_entry_case.h"

#include <csignal>
#include <map>
#include <memory>

namespace review {

namespace {

// The bound `recovery` of the site file.
constexpr double kRecovery = 15;

struct Share {
  int sent = 0;
  int served = 0;
  std::map<int, int> by_status;
};

// Each node's client calls the services of the other nodes.
Share Traffic(const std::vector<std::unique_ptr<Node>>& nodes, double seconds) {
  Share share;
  const double end = Now() + seconds;
  while (Now() < end) {
    for (const auto& from : nodes) {
      for (const auto& to : nodes) {
        if (from == to) {
          continue;
        }
        int status = 0;
        Call(*from,
             Request("GET", "/" + to->service() + "/", NextAttemptId(), 1000,
                     ""),
             2, &status);
        ++share.sent;
        share.served += status == 200 ? 1 : 0;
        ++share.by_status[status];
      }
    }
    Sleep(0.2);
  }
  return share;
}

std::string Text(const Share& share) {
  std::string text = std::to_string(share.served) + " of " +
                     std::to_string(share.sent) + " served;";
  for (const auto& [status, count] : share.by_status) {
    text += " " + std::to_string(count) + " x " + std::to_string(status);
  }
  return text;
}

}  // namespace

int FleetStaysApart(const Environment& environment) {
  const std::vector<std::string> services = {"roster", "booking", "payroll",
                                             "cancellation"};
  const std::vector<std::string> zones = {"kigali-a", "musanze-a", "rubavu-a",
                                          "kigali-b"};
  const std::string subnet = FindSubnet(4);
  auto* const store = new Store(subnet + "1", 8309);
  std::vector<Route> routes;
  for (const std::string& service : services) {
    routes.push_back({"r-" + service, "/" + service + "/", "safe", service});
  }
  store->Put("config", "main", Configuration(2, routes, services));
  std::vector<std::unique_ptr<Node>> nodes;
  for (size_t i = 0; i < services.size(); ++i) {
    nodes.push_back(
        std::make_unique<Node>(environment.repository, environment.folder,
                               subnet + std::to_string(i + 1), zones[i],
                               zones[i].substr(0, zones[i].size() - 2),
                               services[i], subnet + "1:8309"));
    nodes.back()->Start();
    new Endpoint(nodes.back().get(), "i-" + std::to_string(i),
                 [](const Message& request, EndpointConnection* connection) {
                   Sleep(0.005);
                   return SendAll(
                       connection->fd,
                       EndpointResponse("200 OK", request.Find("attempt-id"),
                                        "s", "roster"));
                 });
  }
  for (const auto& node : nodes) {
    node->AwaitReady(10);
  }
  Sleep(4);
  Record* const record = environment.record;
  const Share before = Traffic(nodes, 3);
  record->Line("before the fault: " + Text(before));
  if (before.served * 4 < before.sent) {
    throw CannotRun{"less than a quarter is served before the fault"};
  }
  for (const std::string& kind : store->Kinds()) {
    if (environment.trouble && kind != "config") {
      record->Line("another writer: " + store->Overwrite(kind, json::object()));
    }
  }
  for (const auto& node : nodes) {
    node->Signal(SIGKILL);
  }
  for (const auto& node : nodes) {
    node->Wait(5);
  }
  record->Line("all processes are killed");
  Sleep(1);
  for (const auto& node : nodes) {
    node->Start();
  }
  for (const auto& node : nodes) {
    node->AwaitReady(10);
  }
  record->Line("all machines are back");
  Sleep(kRecovery);
  const Share after = Traffic(nodes, 6);
  record->Line("later than `recovery` after that: " + Text(after));
  return after.served * 4 < after.sent ? 1 : 0;
}

}  // namespace review
