// An endpoint reports that it is draining to a node that is being stopped.
#include "leaving_case.h"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <memory>
#include <mutex>

namespace review {

namespace {

// Bounds of the site file, in seconds.
constexpr double kDrain = 3;
constexpr double kSettleWindow = 3;

// How much longer the endpoint serves.
constexpr double kLonger = 0.7;
constexpr int kSlots = 4;
constexpr double kWork = 0.8;
constexpr int kCalls = 26;

struct Arrival {
  std::string attempt;
  double at;
};

}  // namespace

int LateAfterLeaving(const Environment& environment) {
  const std::string subnet = FindSubnet(3);
  auto* const store = new Store(subnet + "1", 8309);
  Route route{"r-book", "/book/", "unsafe", "booking", 1, "6000ms"};
  route.target_latency = "1500ms";
  store->Put("config", "main",
             Configuration(2, {route}, {"booking", "roster"}));
  Node entry(environment.repository, environment.folder, subnet + "1",
             "kigali-a", "kigali", "roster", subnet + "1:8309");
  Node serving(environment.repository, environment.folder, subnet + "2",
               "kigali-a", "kigali", "booking", subnet + "1:8309");
  Node other(environment.repository, environment.folder, subnet + "3",
             "kigali-a", "kigali", "roster", subnet + "1:8309");
  for (Node* const node : {&entry, &serving, &other}) {
    node->set_drain("3000ms");
    node->Start();
  }
  const auto sound = [](const Message& request,
                        EndpointConnection* connection) {
    return SendAll(
        connection->fd,
        EndpointResponse("200 OK", request.Find("attempt-id"), "s", "roster"));
  };
  new Endpoint(&entry, "i-2", sound);
  new Endpoint(&other, "i-3", sound);
  auto* const end = new std::atomic<double>(1e9);
  auto* const mutex = new std::mutex();
  auto* const arrivals = new std::vector<Arrival>();
  auto* const endpoint = new Endpoint(
      &serving, "i-1",
      [=](const Message& request, EndpointConnection* connection) {
        const std::string attempt = request.Find("attempt-id");
        {
          const std::lock_guard<std::mutex> lock(*mutex);
          arrivals->push_back({attempt, Now()});
        }
        Sleep(kWork);
        if (Now() > *end) {
          return false;  // The process has ended.
        }
        return SendAll(connection->fd,
                       EndpointResponse("200 OK", attempt, "s", "booked"));
      },
      kSlots);
  entry.AwaitReady(10);
  serving.AwaitReady(10);
  other.AwaitReady(10);
  Sleep(4);
  Record* const record = environment.record;
  std::vector<std::thread> callers;
  for (int i = 0; i < kCalls; ++i) {
    callers.emplace_back([&entry, record, i] {
      const std::string attempt = NextAttemptId();
      const double sent = Now();
      int status = 0;
      Call(entry,
           Request("POST", "/book/" + std::to_string(i), attempt, 6000, "x"), 8,
           &status);
      char text[120];
      snprintf(text, sizeof(text),
               "%s sent at %.3f to the other node, answered %d",
               attempt.c_str(), sent, status);
      record->Line(text);
    });
    Sleep(0.005);
  }
  Sleep(0.3);
  const double stop = Now();
  if (environment.trouble) {
    serving.Signal(SIGTERM);
    record->Line("SIGTERM to the node beside the endpoint");
  }
  Sleep(0.1);
  endpoint->StopBeats();
  const int status = endpoint->Beat("draining");
  const double acknowledged = Now();
  record->Line("the endpoint reports draining; the node answers " +
               std::to_string(status));
  if (status != 200) {
    throw CannotRun{"the report is not acknowledged"};
  }
  *end = acknowledged + kDrain + kLonger;
  for (std::thread& caller : callers) {
    caller.join();
  }
  int late = 0;
  const std::lock_guard<std::mutex> lock(*mutex);
  for (const Arrival& arrival : *arrivals) {
    char text[120];
    snprintf(text, sizeof(text),
             "%s reaches the endpoint at %.3f, %.3f s after the "
             "acknowledgement",
             arrival.attempt.c_str(), arrival.at, arrival.at - acknowledged);
    record->Line(text);
    // The node is in touch again only then.
    const bool in_touch =
        !environment.trouble || arrival.at - stop > kSettleWindow;
    if (in_touch && arrival.at - acknowledged > kDrain) {
      ++late;
      record->Line("DRAIN: that is later than `drain`, by a machine in touch");
    }
  }
  return late > 0 ? 1 : 0;
}

int LeavingForgotten(const Environment& environment) {
  // The bound of the small sites.
  constexpr double kSmallDrain = 2;
  // The endpoint serves for `drain` and this much longer.
  constexpr double kServesLonger = 7;
  const std::string subnet = FindSubnet(3);
  auto* const store = new Store(subnet + "1", 8309);
  store->Put("config", "main",
             Configuration(2, {{"r-book", "/book/", "unsafe", "booking", 2}},
                           {"booking"}));
  std::vector<std::unique_ptr<Node>> nodes;
  for (int i = 1; i <= 3; ++i) {
    nodes.push_back(std::make_unique<Node>(
        environment.repository, environment.folder, subnet + std::to_string(i),
        "kigali-a", "kigali", "booking", subnet + "1:8309"));
    nodes.back()->Start();
  }
  auto* const mutex = new std::mutex();
  auto* const arrivals = new std::vector<Arrival>();
  auto* const end = new std::atomic<double>(1e9);
  std::vector<Endpoint*> endpoints;
  for (size_t i = 0; i < nodes.size(); ++i) {
    endpoints.push_back(new Endpoint(
        nodes[i].get(), "i-" + std::to_string(i),
        [=](const Message& request, EndpointConnection* connection) {
          const std::string attempt = request.Find("attempt-id");
          if (i == 0) {
            const std::lock_guard<std::mutex> lock(*mutex);
            arrivals->push_back({attempt, Now()});
          }
          Sleep(0.02);
          if (i == 0 && Now() > *end) {
            return false;  // The process has ended.
          }
          return SendAll(connection->fd,
                         EndpointResponse("200 OK", attempt, "s", "booked"));
        }));
  }
  for (const auto& node : nodes) {
    node->AwaitReady(10);
  }
  Sleep(4);
  Record* const record = environment.record;
  endpoints[0]->StopBeats();
  Sleep(0.1);
  const int status = endpoints[0]->Deregister();
  const double acknowledged = Now();
  *end = acknowledged + kSmallDrain + kServesLonger;
  record->Line("the endpoint i-0 deregisters; the node answers " +
               std::to_string(status));
  if (status != 200) {
    throw CannotRun{"the leaving is not acknowledged"};
  }
  Sleep(0.2);
  double started = Now() - kSettleWindow;
  if (environment.trouble) {
    for (const auto& node : nodes) {
      node->Signal(SIGKILL);
    }
    for (const auto& node : nodes) {
      node->Wait(5);
    }
    record->Line("all processes are killed");
    Sleep(0.3);
    for (const auto& node : nodes) {
      node->Start();
    }
    for (const auto& node : nodes) {
      node->AwaitReady(10);
    }
    started = Now();
    record->Line("all processes run again");
  }
  Sleep(std::max(0.0, acknowledged + 2 - Now()));
  record->Line(
      "a report `ready` of i-0 from before arrives 2 s late; the node "
      "answers " +
      std::to_string(endpoints[0]->LateBeat("ready", 2)));
  while (Now() < *end + 0.5) {
    int answer = 0;
    const std::string attempt = NextAttemptId();
    Call(*nodes[1], Request("POST", "/book/", attempt, 1000, "x"), 2, &answer);
    record->Line(attempt + " answered " + std::to_string(answer));
    Sleep(0.05);
  }
  int late = 0;
  const std::lock_guard<std::mutex> lock(*mutex);
  for (const Arrival& arrival : *arrivals) {
    const bool in_touch = arrival.at - started > kSettleWindow;
    if (in_touch && arrival.at - acknowledged > kSmallDrain) {
      ++late;
      char text[120];
      snprintf(text, sizeof(text),
               "DRAIN: %s reaches i-0 %.3f s after the acknowledgement",
               arrival.attempt.c_str(), arrival.at - acknowledged);
      record->Line(text);
    }
  }
  return late > 0 ? 1 : 0;
}

}  // namespace review
