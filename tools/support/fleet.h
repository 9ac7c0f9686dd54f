#ifndef TOOLS_SUPPORT_FLEET_H_
#define TOOLS_SUPPORT_FLEET_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

#include "dragonflytack/base/host_port.h"
#include "support/child_process.h"
#include "support/fleet_options.h"

namespace dragonflytack {

// A store stand-in and a number of daemons on addresses of 127.0.0.0/8. As in
// the present deployment of the users, they are spread over three regions with
// two data centres each, unless the options request fewer regions.
class Fleet final {
 public:
  // Data centres of a fleet with the default number of regions.
  static constexpr int kDataCentres = 6;
  static constexpr uint16_t kStorePort = 7000;
  static constexpr uint16_t kCallPort = 7001;
  static constexpr uint16_t kMeshPort = 7002;
  static constexpr uint16_t kPeerPort = 7003;
  static constexpr uint16_t kAdminPort = 7004;
  static constexpr uint16_t kTargetPort = 7005;
  static constexpr uint16_t kStoreAdminPort = 7006;

  struct Node {
    std::string id;
    std::string region;
    std::string data_centre;
    std::string address;
    std::string service;
    std::optional<ChildProcess> daemon;
    std::optional<ChildProcess> target;
  };

  explicit Fleet(const FleetOptions& options);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  // Starts the store. Returns false if it does not respond within 5 s.
  bool StartStore();

  // Sets a fault of the store, for example "outage=refuse".
  bool SetStoreFault(const std::string& fault);
  // Lets the store return from a copy of this age in milliseconds.
  bool ReturnStore(const std::string& age_ms);

  // Returns the number of requests of all kinds that the store has received; a
  // pending watch counts once.
  uint64_t StoreCalls() const;
  int WaitingWatches() const;

  // Writes an object if its current version is `if_version`. Returns the new
  // version, or 0 on failure.
  uint64_t PutObject(const std::string& key,
                     const std::string& value,
                     uint64_t if_version) const;

  // Returns the value of an object, empty if it does not exist or the store
  // does not respond.
  std::string GetObject(const std::string& key) const;

  // Starts the daemon, and its target if the options request one and it is not
  // running.
  bool StartNode(size_t index);
  bool StartAllNodes();

  // For a fleet without target processes: sends the announcements of a target
  // beside each running node every few seconds until the fleet is destroyed.
  void StartAnnouncing();

  // Waits until every running node has `version` or a newer one in force.
  // Returns the elapsed seconds, or std::nullopt on a timeout.
  std::optional<double> WaitUntilInForce(uint64_t version, int timeout_ms);

  // Waits until the registry of every running node has `count` nodes that are
  // alive. Returns the elapsed seconds, or std::nullopt on a timeout.
  std::optional<double> WaitForMemberCount(size_t count, int timeout_ms);

  // Fetches `path` from the admin ports of all running nodes. Returns the
  // responses by node index; null for a node that did not respond.
  std::vector<nlohmann::json> FetchAll(const std::string& path) const;

  // Returns the metrics text of all running nodes by node index; empty for a
  // node that did not respond.
  std::vector<std::string> MetricsOfAll() const;

  // Returns the sum of a metric over the samples whose line contains `label`.
  static double SumMetric(const std::string& text,
                          const std::string& name,
                          const std::string& label = {});

  std::vector<Node>& nodes() { return nodes_; }
  const std::vector<Node>& nodes() const { return nodes_; }
  // Headers that authorize requests to the admin ports.
  const std::map<std::string, std::string>& admin_headers() const {
    return admin_headers_;
  }
  HostPort store() const;
  HostPort EntryOf(size_t index) const;
  // Returns the address at which the daemon of a node finds the store or, with
  // `kTargetPort`, its target.
  HostPort AddressFor(const Node& node, uint16_t port) const;
  size_t RunningCount() const;
  const FleetOptions& options() const { return options_; }

 private:
  std::string WriteSettings(const Node& node) const;
  bool StartTarget(Node* node);
  std::vector<std::string> FetchAllText(const std::string& path) const;
  nlohmann::json StoreState() const;
  // Sends a request to the store's admin port. Returns whether it succeeded.
  bool PostToStore(const std::string& path);
  void AnnounceAll() const;

  const FleetOptions options_;
  std::map<std::string, std::string> admin_headers_;
  std::optional<ChildProcess> store_;
  std::vector<Node> nodes_;
  std::atomic<bool> announcing_{false};
  std::thread announcer_;
};

}  // namespace dragonflytack

#endif  // TOOLS_SUPPORT_FLEET_H_
