// Measures the processor time of a router choice and of a routed call, and the
// latency that the mesh adds to a call. Prints JSON lines.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>
#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdlib>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <event2/buffer.h>
#include <event2/http.h>
#include <fmt/format.h>

#include "calls/http_server.h"
#include "calls/native_header_codec.h"
#include "calls/service_addressing.h"
#include "dragonflytack/base/event_loop.h"
#include "dragonflytack/base/settings.h"
#include "dragonflytack/base/system_clock.h"
#include "dragonflytack/calls/call_task.h"
#include "dragonflytack/observe/metrics_registry.h"
#include "dragonflytack/observe/tracer.h"
#include "dragonflytack/routing/route_snapshot.h"
#include "routing/router.h"

namespace dragonflytack {

namespace {

constexpr char kEntryAddress[] = "127.77.0.1";
constexpr char kTargetAddress[] = "127.77.0.2";
constexpr uint16_t kCallPort = 7001;
constexpr uint16_t kMeshPort = 7002;
constexpr uint16_t kTargetPort = 7003;

std::shared_ptr<const RouteSnapshot> MakeRoutes(int endpoints) {
  auto route = std::make_shared<ServiceRoute>();
  route->row.service = "s";
  route->row.slots = 64;
  for (int i = 0; i < endpoints; ++i) {
    Endpoint endpoint;
    endpoint.record.id = fmt::format("n{:04}", i);
    endpoint.record.region = "r";
    endpoint.record.data_centre = "d";
    endpoint.record.address = kTargetAddress;
    endpoint.record.mesh_port = kMeshPort;
    endpoint.record.state = TargetState::kReady;
    route->endpoints.push_back(endpoint);
  }
  auto routes = std::make_shared<RouteSnapshot>();
  routes->version = 1;
  routes->services["s"] = std::move(route);
  return routes;
}

int64_t ThreadCpuNanos() {
  timespec time;
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return time.tv_sec * 1'000'000'000LL + time.tv_nsec;
}

void MeasureChoice(int endpoints) {
  const SystemClock clock;
  Router router(&clock, "r", "d", 1);
  router.SetRoutes(MakeRoutes(endpoints));
  constexpr int kChoices = 1'000'000;
  const int64_t start = ThreadCpuNanos();
  for (int i = 0; i < kChoices; ++i) {
    const std::shared_ptr<ServicePool> pool = router.Find("s");
    const ServicePool::EndpointPtr chosen = pool->Choose({});
    chosen->OnSent(clock.Now());
    pool->OnAttemptEnded(chosen.get(), AttemptOutcome::kSuccess,
                         std::chrono::microseconds(900 + i % 200));
  }
  fmt::print(
      R"({{"measure":"router_choice","endpoints":{},"choices":{},"cpu_ns_per_choice":{}}})"
      "\n",
      endpoints, kChoices, (ThreadCpuNanos() - start) / kChoices);
}

std::set<std::string> ThreadIds() {
  std::set<std::string> ids;
  for (const auto& entry :
       std::filesystem::directory_iterator("/proc/self/task")) {
    ids.insert(entry.path().filename());
  }
  return ids;
}

// Returns the processor time that a thread of this process has used.
int64_t CpuNanosOf(const std::string& thread_id) {
  std::ifstream file("/proc/self/task/" + thread_id + "/schedstat");
  int64_t nanos = 0;
  file >> nanos;
  return nanos;
}

// A blocking HTTP client with one connection.
class Client {
 public:
  Client(const char* address, uint16_t port)
      : fd_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in server_address{};
    server_address.sin_family = AF_INET;
    server_address.sin_port = htons(port);
    inet_pton(AF_INET, address, &server_address.sin_addr);
    const int on = 1;
    setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (connect(fd_, reinterpret_cast<sockaddr*>(&server_address),
                sizeof(server_address)) != 0) {
      fmt::print(stderr, "cannot connect to {}:{}\n", address, port);
      std::exit(EXIT_FAILURE);
    }
  }
  ~Client() { close(fd_); }
  Client(const Client&) = delete;

  // Returns the status of the response, or 0 if there is none.
  int Call() {
    static constexpr char kRequest[] = "GET /s/x HTTP/1.1\r\nHost: h\r\n\r\n";
    if (send(fd_, kRequest, sizeof(kRequest) - 1, MSG_NOSIGNAL) < 0) {
      return 0;
    }
    std::string text;
    char buffer[4096];
    // All response bodies are short: "ok" or the JSON object of a refusal.
    while (!text.ends_with("\r\n\r\nok") && !text.ends_with("}")) {
      const ssize_t size = recv(fd_, buffer, sizeof(buffer), 0);
      if (size <= 0) {
        return 0;
      }
      text.append(buffer, static_cast<size_t>(size));
    }
    return std::atoi(text.c_str() + sizeof("HTTP/1.1"));
  }

 private:
  const int fd_;
};

// A target that responds "ok" after the service time.
class Target {
 public:
  Target(const Clock* clock, Milliseconds service_time)
      : loop_(EventLoop::Make(clock)) {
    Failure reason;
    server_ = HttpServer::Make(
        loop_->base(), {kTargetAddress, kTargetPort},
        [this, service_time](evhttp_request* request) {
          if (service_time == Milliseconds::zero()) {
            Respond(request);
          } else {
            loop_->timers().SubscribeOnce(service_time,
                                          [request] { Respond(request); });
          }
        },
        &reason);
    if (server_ == nullptr) {
      fmt::print(stderr, "{}\n", reason.ToString());
      std::exit(EXIT_FAILURE);
    }
    thread_ = std::thread([this] { loop_->Run(); });
  }
  ~Target() {
    loop_->Stop();
    thread_.join();
  }

 private:
  static void Respond(evhttp_request* request) {
    evbuffer* body = evbuffer_new();
    evbuffer_add(body, "ok", 2);
    evhttp_send_reply(request, HTTP_OK, nullptr, body);
    evbuffer_free(body);
  }

  std::unique_ptr<EventLoop> loop_;
  std::unique_ptr<HttpServer> server_;
  std::thread thread_;
};

// A node with one call thread, whose processor time it reads.
class Node {
 public:
  Node(const Clock* clock, const char* id, const char* address)
      : logger_(clock, LogLevel::kWarning, id), tracer_(0.01, 1) {
    Settings settings;
    settings.node_id = id;
    settings.region = "r";
    settings.data_centre = "d";
    settings.address = address;
    settings.call_port = kCallPort;
    settings.mesh_port = kMeshPort;
    const std::set<std::string> before = ThreadIds();
    Failure reason;
    task_ =
        CallTask::Make(settings,
                       {std::make_shared<NativeHeaderCodec>(),
                        std::make_shared<ServiceAddressing>()},
                       1, clock, &logger_, &metrics_, &tracer_, {}, &reason);
    if (task_ == nullptr) {
      fmt::print(stderr, "{}\n", reason.ToString());
      std::exit(EXIT_FAILURE);
    }
    for (const std::string& thread_id : ThreadIds()) {
      if (!before.contains(thread_id)) {
        thread_id_ = thread_id;
      }
    }
  }
  CallTask* task() { return task_.get(); }
  int64_t CpuNanos() const { return CpuNanosOf(thread_id_); }

 private:
  Logger logger_;
  MetricsRegistry metrics_;
  Tracer tracer_;
  std::unique_ptr<CallTask> task_;
  std::string thread_id_;
};

int64_t Quantile(std::vector<int64_t>* sorted, double quantile) {
  std::sort(sorted->begin(), sorted->end());
  return (*sorted)[static_cast<size_t>(
      quantile * static_cast<double>(sorted->size() - 1))];
}

// Makes one call and returns its latency in microseconds.
int64_t TimeCall(Client* client) {
  const auto start = std::chrono::steady_clock::now();
  if (client->Call() != HTTP_OK) {
    fmt::print(stderr, "a call failed\n");
    std::exit(EXIT_FAILURE);
  }
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::steady_clock::now() - start)
      .count();
}

// Calls the target directly and through the nodes alternately, so that both are
// subject to the same noise of the machine.
void MeasureAddedTime(int endpoints) {
  constexpr int kCalls = 1000;
  constexpr int kPerSecond = 100;
  Client direct(kTargetAddress, kTargetPort);
  Client routed(kEntryAddress, kCallPort);
  std::vector<int64_t> direct_us;
  std::vector<int64_t> routed_us;
  auto next = std::chrono::steady_clock::now();
  for (int i = 0; i < kCalls; ++i) {
    std::this_thread::sleep_until(next);
    next += std::chrono::microseconds(1'000'000 / kPerSecond);
    direct_us.push_back(TimeCall(&direct));
    routed_us.push_back(TimeCall(&routed));
  }
  const int64_t direct_median_us = Quantile(&direct_us, 0.5);
  fmt::print(
      R"({{"measure":"added_time","endpoints":{},"calls_per_s":{},"direct_p50_us":{},"direct_p99_us":{},"added_p50_us":{},"added_p99_us":{}}})"
      "\n",
      endpoints, kPerSecond, direct_median_us, Quantile(&direct_us, 0.99),
      Quantile(&routed_us, 0.5) - direct_median_us,
      Quantile(&routed_us, 0.99) - direct_median_us);
}

void MeasureSaturation(int endpoints, Node* entry, Node* target_node) {
  constexpr int kCallers = 32;
  constexpr std::chrono::seconds kTime(3);
  std::atomic<bool> stop = false;
  std::atomic<int64_t> done = 0;
  std::atomic<int64_t> failed = 0;
  std::vector<std::thread> callers;
  const int64_t entry_start = entry->CpuNanos();
  const int64_t target_node_start = target_node->CpuNanos();
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back([&] {
      Client client(kEntryAddress, kCallPort);
      while (!stop) {
        (client.Call() == HTTP_OK ? done : failed) += 1;
      }
    });
  }
  std::this_thread::sleep_for(kTime);
  stop = true;
  for (std::thread& caller : callers) {
    caller.join();
  }
  const int64_t calls = std::max<int64_t>(done, 1);
  fmt::print(
      R"({{"measure":"saturation","endpoints":{},"callers":{},"calls_per_s":{},"failed":{},"entry_cpu_us_per_call":{:.1f},"target_side_cpu_us_per_call":{:.1f}}})"
      "\n",
      endpoints, kCallers, done / kTime.count(), failed.load(),
      static_cast<double>(entry->CpuNanos() - entry_start) / 1000 /
          static_cast<double>(calls),
      static_cast<double>(target_node->CpuNanos() - target_node_start) / 1000 /
          static_cast<double>(calls));
}

void MeasureCalls(int endpoints, std::string_view measure) {
  const SystemClock clock;
  const Target target(&clock, Milliseconds::zero());
  Node entry(&clock, "entry", kEntryAddress);
  Node target_node(&clock, "n0000", kTargetAddress);
  for (Node* node : {&entry, &target_node}) {
    node->task()->PostRoutes(MakeRoutes(endpoints));
  }
  target_node.task()->PostTarget(
      {"s", kTargetAddress, kTargetPort, TargetState::kReady, 64});
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  if (measure != "saturation") {
    MeasureAddedTime(endpoints);
  }
  if (measure != "added_time") {
    MeasureSaturation(endpoints, &entry, &target_node);
  }
}

// Offers a multiple of the capacity of one target. Prints the goodput and the
// latency of refusals.
void MeasureOverload(double times_capacity) {
  constexpr int kSlots = 12;
  constexpr Milliseconds kServiceTime(10);
  constexpr int kCallers = 256;
  constexpr int kSeconds = 5;
  constexpr int64_t kCapacity = int64_t{kSlots} * 1000 / kServiceTime.count();
  const SystemClock clock;
  const Target target(&clock, kServiceTime);
  Node entry(&clock, "entry", kEntryAddress);
  Node target_node(&clock, "n0000", kTargetAddress);
  for (Node* node : {&entry, &target_node}) {
    node->task()->PostRoutes(MakeRoutes(1));
  }
  target_node.task()->PostTarget(
      {"s", kTargetAddress, kTargetPort, TargetState::kReady, kSlots});
  std::this_thread::sleep_for(Milliseconds(100));
  const std::chrono::nanoseconds period(static_cast<int64_t>(
      1e9 * kCallers / (static_cast<double>(kCapacity) * times_capacity)));
  std::atomic<int64_t> done = 0;
  std::vector<std::vector<int64_t>> refused_us(kCallers);
  std::vector<std::thread> callers;
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back([&, i] {
      Client client(kEntryAddress, kCallPort);
      auto next = start + period * i / kCallers;
      while (next < start + std::chrono::seconds(kSeconds)) {
        std::this_thread::sleep_until(next);
        next += period;
        const auto sent = std::chrono::steady_clock::now();
        if (client.Call() == HTTP_OK) {
          ++done;
        } else {
          refused_us[i].push_back(
              std::chrono::duration_cast<std::chrono::microseconds>(
                  std::chrono::steady_clock::now() - sent)
                  .count());
        }
      }
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  std::vector<int64_t> refused = {0};
  for (const std::vector<int64_t>& times : refused_us) {
    refused.insert(refused.end(), times.begin(), times.end());
  }
  fmt::print(
      R"({{"measure":"overload","times_capacity":{},"capacity_per_s":{},"done_per_s":{},"refused_per_s":{},"refused_p50_us":{},"refused_p99_us":{}}})"
      "\n",
      times_capacity, kCapacity, done / kSeconds,
      (refused.size() - 1) / kSeconds, Quantile(&refused, 0.5),
      Quantile(&refused, 0.99));
}

}  // namespace

}  // namespace dragonflytack

// The optional argument selects one measurement: router_choice, added_time,
// saturation or overload.
int main(int argc, char** argv) {
  const std::string_view measure = argc > 1 ? argv[1] : "";
  for (const int endpoints : {30, 500}) {
    if (measure.empty() || measure == "router_choice") {
      dragonflytack::MeasureChoice(endpoints);
    }
    if (measure != "router_choice" && measure != "overload") {
      dragonflytack::MeasureCalls(endpoints, measure);
    }
  }
  if (measure.empty() || measure == "overload") {
    for (const double times_capacity : {0.9, 1.0, 2.0}) {
      dragonflytack::MeasureOverload(times_capacity);
    }
  }
  return EXIT_SUCCESS;
}
