// A small fleet: the platform's store, daemons of the deploy file, endpoints
// and clients, on loopback addresses and the real clock.
#ifndef REVIEW_COMMON_2_FLEET_H_
#define REVIEW_COMMON_2_FLEET_H_

#include <sys/types.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

#include "text_http.h"

namespace review {

// Lines of record.txt with the time in seconds.
class Record {
 public:
  explicit Record(const std::string& path) : file_(path) {}
  void Line(const std::string& text);

 private:
  std::mutex mutex_;
  std::ofstream file_;
};

// The platform's store as PROTOCOL.md describes it: objects by kind and name,
// one counter of revisions, conditions, lists and watches.
class Store {
 public:
  Store(Address address, Record* record);
  // The operator's write of config/main. Returns when the store has
  // acknowledged it.
  void WriteConfiguration(const nlohmann::json& configuration);
  const Address& address() const { return address_; }

 private:
  struct Event {
    uint64_t revision;
    std::string kind;
    nlohmann::json object;
    bool deleted;
  };
  void Accept(int listener);
  void Serve(int fd);
  std::string Handle(const Message& request);
  std::string Watch(const std::string& kind, uint64_t after, int wait_ms);
  std::string Write(const std::string& kind,
                    const std::string& name,
                    const nlohmann::json& body,
                    bool create,
                    bool is_status);

  const Address address_;
  Record* const record_;
  std::mutex mutex_;
  std::condition_variable changed_;
  uint64_t revision_ = 1;
  std::map<std::string, std::map<std::string, nlohmann::json>> objects_;
  std::vector<Event> events_;
};

// Forwards connections to one address. What is between the two ends can lose
// track of the open connections: they go silent for good, new ones work.
class Relay {
 public:
  Relay(Address from, Address to);
  void SilenceOpenConnections();
  const Address& address() const { return from_; }

 private:
  struct Pair {
    int a = -1;
    int b = -1;
    std::atomic<bool> silent{false};
  };
  void Accept(int listener);
  static void Copy(std::shared_ptr<Pair> pair, bool forward);

  const Address from_;
  const Address to_;
  std::mutex mutex_;
  std::list<std::weak_ptr<Pair>> pairs_;
};

// One request that an endpoint began to work on.
struct Run {
  double time = 0;
  std::string id;
  std::string endpoint;
  std::string service;
  std::string path;
};

class Runs {
 public:
  void Add(const Run& run);
  std::vector<Run> All();

 private:
  std::mutex mutex_;
  std::vector<Run> runs_;
};

struct NodeOptions {
  std::string id;
  std::string ip;
  std::string zone;
  std::string region;
  std::string service;
};

struct Bounds {
  std::string drain = "2000ms";
  std::string grace = "6s";
  std::string retry_budget_ratio = "0.2";
  std::string budget_window = "10s";
  std::string budget_slack = "60";
  // Empty if there are no tenants.
  std::string quota_window = {};
  std::string quota_over = {};
  std::string quota_slack = {};
};

// A machine: the endpoint, the daemon beside it and its relay to the store.
class Machine {
 public:
  Machine(const NodeOptions& options,
          uint16_t base_port,
          const Address& store,
          const std::string& folder,
          Runs* runs,
          Record* record,
          const Bounds& bounds = {});
  ~Machine();
  void StartDaemon();
  void StopDaemon();
  void StartEndpoint();
  void StopHeartbeats() { beats_ = false; }
  // Ends the process of the endpoint: it sends no answer any more. Returns the
  // ids of the requests at which it was at work.
  std::set<std::string> EndEndpoint();
  // A liveness report with the next sequence number.
  std::string MakeHeartbeat(const std::string& state);
  // Sends a report of the endpoint and returns the status of the response, 0
  // without one. `call` is "heartbeat" or "deregister".
  int SendReport(const std::string& call, const std::string& body);
  int Deregister();
  const std::string& instance() const { return instance_; }

  const NodeOptions& options() const { return options_; }
  Address outbound() const { return {options_.ip, port(4)}; }
  Address ready() const { return {options_.ip, port(2)}; }
  Address control() const { return {options_.ip, port(6)}; }
  Address endpoint() const { return {options_.ip, port(1)}; }
  Relay& store_relay() { return store_relay_; }
  pid_t daemon() const { return daemon_; }
  bool IsReady() const;
  // Handles a request at the endpoint, after it was recorded as run. Returns
  // the complete bytes of the response.
  using Work = std::function<std::string(const Message&)>;
  void set_work(Work work) { work_ = std::move(work); }

 private:
  uint16_t port(int offset) const {
    return static_cast<uint16_t>(base_port_ + offset);
  }
  std::string WriteSettings() const;
  void AcceptCalls(int listener);
  void ServeCalls(int fd);
  void SendHeartbeats();

  const NodeOptions options_;
  const uint16_t base_port_;
  const std::string folder_;
  const Bounds bounds_;
  Runs* const runs_;
  Record* const record_;
  Relay store_relay_;
  std::string instance_;
  Work work_;
  pid_t daemon_ = -1;
  std::atomic<bool> beats_{true};
  std::atomic<int> sequence_{0};
  std::mutex endpoint_mutex_;
  bool endpoint_ended_ = false;
  std::set<int> endpoint_connections_;
  std::set<std::string> at_work_;
  int64_t born_ = 0;
};

struct Answer {
  double sent = 0;
  double ended = 0;
  // 0 if the connection ended without a complete response.
  int status = 0;
  std::map<std::string, std::string> headers;
  std::string body;
};

// Sends one request on a new connection.
Answer Call(const Address& to,
            const std::string& method,
            const std::string& host,
            const std::string& path,
            const std::string& id,
            int deadline_ms,
            const std::string& body = "",
            const std::string& key = "");

// Waits until all machines answer 200 at their ready address. Exits with 2 if
// that takes longer than `timeout`.
void AwaitReady(const std::vector<std::unique_ptr<Machine>>& machines,
                double timeout);

std::string NewId();
// A random number between two others.
double Random(double least, double most);
// A port from which on a few are free on the machine's loopback addresses.
uint16_t FreeBasePort(const std::vector<std::string>& ips, int count);
// The folder of the deploy file, from the environment variable REPOSITORY.
std::string Repository();
bool HasTrouble();

// Ends the daemons and this process. The threads of the stand-ins still run.
[[noreturn]] void Exit(const std::vector<std::unique_ptr<Machine>>& machines,
                       int code);

nlohmann::json MakeConfiguration(uint32_t version,
                                 const std::vector<std::string>& services,
                                 const std::vector<nlohmann::json>& routes);

}  // namespace review

#endif  // REVIEW_COMMON_2_FLEET_H_
