#include "support/fleet.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <fstream>
#include <functional>
#include <string_view>
#include <utility>

#include <fmt/format.h>

#include "dragonflytack/base/admin_authorization.h"
#include "support/http_batch.h"

namespace dragonflytack {

namespace {

constexpr std::array<const char*, 3> kRegions = {"kigali", "musanze", "rubavu"};
constexpr int kDataCentresPerRegion =
    Fleet::kDataCentres / static_cast<int>(kRegions.size());
constexpr std::array<const char*, 4> kServices = {"roster", "booking",
                                                  "payroll", "cancellation"};
constexpr const char* kSharedKey = "measurement-shared-key";
constexpr int kRequestTimeoutMs = 5000;
constexpr int kStartupTimeoutMs = 5000;
constexpr int kPollMs = 25;
// Below the 5 s within which a target must repeat its announcement.
constexpr int kAnnouncePeriodMs = 4000;
// Allows the connections of the previous node to be established before the next
// node starts.
constexpr int kStartGapMs = 5;

void SleepMs(int milliseconds) {
  std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

// Polls `condition` until it returns true. Returns the elapsed seconds, or
// std::nullopt on a timeout.
std::optional<double> PollUntil(int timeout_ms,
                                const std::function<bool()>& condition) {
  const auto start = std::chrono::steady_clock::now();
  while (true) {
    const bool done = condition();
    const std::chrono::duration<double> elapsed =
        std::chrono::steady_clock::now() - start;
    if (done) {
      return elapsed.count();
    }
    if (elapsed.count() * 1000 >= timeout_ms) {
      return std::nullopt;
    }
    SleepMs(kPollMs);
  }
}

}  // namespace

Fleet::Fleet(const FleetOptions& options)
    : options_(options),
      admin_headers_({{"authorization", AdminAuthorization(kSharedKey)}}) {
  for (int i = 0; i < options.nodes; ++i) {
    const int data_centres = options.regions * kDataCentresPerRegion;
    const int data_centre = i % data_centres;
    const int position = i / data_centres;
    const char* region = kRegions[data_centre / kDataCentresPerRegion];
    Node node;
    node.id = fmt::format("n{:04}", i);
    node.region = region;
    node.data_centre =
        fmt::format("{}-{}", region, data_centre % kDataCentresPerRegion + 1);
    node.address = fmt::format("127.{}.{}.{}", options.network, data_centre + 1,
                               position + 1);
    const int service = position % options.services;
    node.service = service < static_cast<int>(kServices.size())
                       ? kServices[service]
                       : fmt::format("service-{}", service);
    nodes_.push_back(std::move(node));
  }
}

Fleet::~Fleet() {
  announcing_ = false;
  if (announcer_.joinable()) {
    announcer_.join();
  }
}

HostPort Fleet::store() const {
  return {fmt::format("127.{}.0.1", options_.network), kStorePort};
}

HostPort Fleet::EntryOf(size_t index) const {
  return {nodes_[index].address, kCallPort};
}

HostPort Fleet::AddressFor(const Node& node, uint16_t port) const {
  if (options_.relay_network == 0) {
    return port == kStorePort ? store() : HostPort{node.address, port};
  }
  const std::string prefix = fmt::format("127.{}.", options_.network);
  return {fmt::format("127.{}.{}", options_.relay_network,
                      node.address.substr(prefix.size())),
          port};
}

size_t Fleet::RunningCount() const {
  return static_cast<size_t>(
      std::count_if(nodes_.begin(), nodes_.end(),
                    [](const Node& node) { return node.daemon.has_value(); }));
}

bool Fleet::StartStore() {
  const HostPort admin{store().address, kStoreAdminPort};
  store_ =
      ChildProcess::Start({options_.build_dir + "/store_standin", "--listen",
                           store().ToString(), "--admin", admin.ToString()},
                          options_.work_dir + "/store.log");
  return PollUntil(kStartupTimeoutMs,
                   [this] { return !StoreState().is_null(); })
      .has_value();
}

nlohmann::json Fleet::StoreState() const {
  const HttpExchange exchange = RunHttp(
      {.server = {store().address, kStoreAdminPort}, .path = "/admin/state"},
      kRequestTimeoutMs);
  return exchange.status == 200
             ? nlohmann::json::parse(exchange.response, nullptr, false)
             : nlohmann::json();
}

bool Fleet::SetStoreFault(const std::string& fault) {
  return PostToStore("/admin/faults?" + fault);
}

bool Fleet::ReturnStore(const std::string& age_ms) {
  return PostToStore("/admin/return?age_ms=" + age_ms);
}

bool Fleet::PostToStore(const std::string& path) {
  return RunHttp({.server = {store().address, kStoreAdminPort},
                  .path = path,
                  .method = "POST"},
                 kRequestTimeoutMs)
             .status == 200;
}

uint64_t Fleet::StoreCalls() const {
  const nlohmann::json state = StoreState();
  uint64_t calls = 0;
  for (const char* kind : {"reads", "writes", "deletes", "watches", "lists"}) {
    calls += state["counters"].value(kind, uint64_t{0});
  }
  return calls;
}

int Fleet::WaitingWatches() const {
  return StoreState().value("waiting_watches", 0);
}

uint64_t Fleet::PutObject(const std::string& key,
                          const std::string& value,
                          uint64_t if_version) const {
  HttpExchange exchange =
      RunHttp({.server = store(),
               .path = "/v1/objects/" + key,
               .method = "PUT",
               .body = value,
               .headers = {{"x-if-version", std::to_string(if_version)}}},
              kRequestTimeoutMs);
  return exchange.status == 200
             ? std::stoull(exchange.response_headers["x-version"])
             : 0;
}

std::string Fleet::GetObject(const std::string& key) const {
  const HttpExchange exchange = RunHttp(
      {.server = store(), .path = "/v1/objects/" + key}, kRequestTimeoutMs);
  return exchange.status == 200 ? exchange.response : "";
}

std::string Fleet::WriteSettings(const Node& node) const {
  const std::string path = fmt::format("{}/{}.ini", options_.work_dir, node.id);
  std::ofstream file(path, std::ios::trunc);
  file << fmt::format(
      "[node]\nid={}\nregion={}\ndata_centre={}\naddress={}\n"
      "call_port={}\nmesh_port={}\npeer_port={}\nadmin_port={}\n",
      node.id, node.region, node.data_centre, node.address, kCallPort,
      kMeshPort, kPeerPort, kAdminPort);
  file << fmt::format(
      "[store]\naddress={}\nport={}\nregion={}\nwatch_on_every_node={}\n"
      "[calls]\ndrain_timeout_ms={}\nmax_pipelined={}\n",
      AddressFor(node, kStorePort).address, kStorePort, kRegions[0],
      options_.watch_on_every_node ? "true" : "false",
      options_.drain_timeout_ms, options_.max_pipelined);
  file << fmt::format("[security]\nshared_key={}\n[trace]\nsample={}\n",
                      kSharedKey, options_.trace_sample);
  if (options_.rollouts) {
    file << "[rollout]\nexposure=0.1\nexposure_slack=50\nrollback=5s\n";
  }
  return path;
}

bool Fleet::StartTarget(Node* node) {
  std::vector<std::string> arguments = {
      options_.build_dir + "/target_standin",
      "--listen",
      HostPort{node->address, kTargetPort}.ToString(),
      "--admin",
      HostPort{node->address, kAdminPort}.ToString(),
      "--call",
      HostPort{node->address, kCallPort}.ToString(),
      "--service",
      node->service,
      "--service-ms",
      fmt::format("{}", options_.service_ms),
      "--slots",
      std::to_string(options_.slots),
      "--announced",
      AddressFor(*node, kTargetPort).ToString()};
  if (options_.rollouts) {
    arguments.insert(arguments.end(), {"--release", "v1"});
  }
  node->target = ChildProcess::Start(
      arguments, fmt::format("{}/{}-target.log", options_.work_dir, node->id));
  return node->target.has_value();
}

bool Fleet::StartNode(size_t index) {
  Node& node = nodes_[index];
  node.daemon = ChildProcess::Start(
      {options_.build_dir + "/dragonflytackd", "--config", WriteSettings(node)},
      fmt::format("{}/{}.log", options_.work_dir, node.id));
  if (options_.targets && !node.target && !StartTarget(&node)) {
    return false;
  }
  return node.daemon.has_value();
}

bool Fleet::StartAllNodes() {
  for (size_t i = 0; i < nodes_.size(); ++i) {
    if (!StartNode(i)) {
      return false;
    }
    SleepMs(kStartGapMs);
  }
  return true;
}

void Fleet::AnnounceAll() const {
  std::vector<HttpExchange> exchanges;
  for (const Node& node : nodes_) {
    if (node.daemon) {
      exchanges.push_back(
          {.server = {node.address, kAdminPort},
           .path = "/announce",
           .method = "POST",
           .body = fmt::format("{{\"service\":\"{}\",\"port\":{},\"address\":"
                               "\"{}\",\"state\":\"ready\",\"slots\":{}}}",
                               node.service, kTargetPort, node.address,
                               options_.slots)});
    }
  }
  RunHttpBatch(&exchanges, kRequestTimeoutMs);
}

void Fleet::StartAnnouncing() {
  announcing_ = true;
  announcer_ = std::thread([this] {
    while (announcing_) {
      AnnounceAll();
      for (int waited = 0; announcing_ && waited < kAnnouncePeriodMs;
           waited += kPollMs) {
        SleepMs(kPollMs);
      }
    }
  });
}

std::vector<std::string> Fleet::FetchAllText(const std::string& path) const {
  std::vector<HttpExchange> exchanges;
  std::vector<size_t> requested;
  for (size_t i = 0; i < nodes_.size(); ++i) {
    if (nodes_[i].daemon) {
      exchanges.push_back({.server = {nodes_[i].address, kAdminPort},
                           .path = path,
                           .headers = admin_headers_});
      requested.push_back(i);
    }
  }
  RunHttpBatch(&exchanges, kRequestTimeoutMs);
  std::vector<std::string> responses(nodes_.size());
  for (size_t i = 0; i < requested.size(); ++i) {
    if (exchanges[i].status == 200) {
      responses[requested[i]] = std::move(exchanges[i].response);
    }
  }
  return responses;
}

std::vector<nlohmann::json> Fleet::FetchAll(const std::string& path) const {
  std::vector<nlohmann::json> responses;
  for (const std::string& text : FetchAllText(path)) {
    responses.push_back(text.empty()
                            ? nlohmann::json()
                            : nlohmann::json::parse(text, nullptr, false));
  }
  return responses;
}

std::vector<std::string> Fleet::MetricsOfAll() const {
  return FetchAllText("/metrics");
}

std::optional<double> Fleet::WaitUntilInForce(uint64_t version,
                                              int timeout_ms) {
  return PollUntil(timeout_ms, [this, version] {
    const std::vector<nlohmann::json> responses = FetchAll("/status");
    for (size_t i = 0; i < responses.size(); ++i) {
      if (nodes_[i].daemon && (!responses[i].is_object() ||
                               responses[i].value("version", 0u) < version)) {
        return false;
      }
    }
    return true;
  });
}

std::optional<double> Fleet::WaitForMemberCount(size_t count, int timeout_ms) {
  return PollUntil(timeout_ms, [this, count] {
    const std::vector<nlohmann::json> responses = FetchAll("/status");
    for (size_t i = 0; i < responses.size(); ++i) {
      if (nodes_[i].daemon &&
          (!responses[i].is_object() ||
           responses[i]["registry"].value("alive", 0u) != count)) {
        return false;
      }
    }
    return true;
  });
}

double Fleet::SumMetric(const std::string& text,
                        const std::string& name,
                        const std::string& label) {
  double sum = 0;
  size_t begin = 0;
  while (begin < text.size()) {
    const size_t end = std::min(text.find('\n', begin), text.size());
    const std::string_view line(text.data() + begin, end - begin);
    begin = end + 1;
    const size_t blank = line.rfind(' ');
    const size_t name_end = std::min(line.find('{'), blank);
    if (blank == std::string_view::npos || line.substr(0, name_end) != name ||
        line.find(label) == std::string_view::npos) {
      continue;
    }
    sum += std::stod(std::string(line.substr(blank + 1)));
  }
  return sum;
}

}  // namespace dragonflytack
