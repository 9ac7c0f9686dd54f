// A few machines with an endpoint each, and a store.
#ifndef REVIEW_STAND_INS_SMALL_FLEET_H_
#define REVIEW_STAND_INS_SMALL_FLEET_H_

#include <memory>
#include <string>
#include <vector>

#include "endpoint.h"
#include "fleet.h"
#include "record.h"
#include "relay.h"
#include "store.h"

namespace review {

// The time after which a calm machine is in touch.
inline constexpr double kSettleSeconds = 3;

class SmallFleet final {
 public:
  struct Options {
    // The service of each machine.
    std::vector<std::string> services;
    std::vector<Route> routes;
    int slots = 12;
    double work_s = 0.05;
    // Whether each daemon reaches the store through a relay.
    bool with_relays = false;
    // Whether all machines are in one zone, not in one each.
    bool in_one_zone = false;
  };

  SmallFleet(const Options& options, Record* record);

  // Starts everything and waits until all machines are ready and in touch.
  // Returns false if the case cannot run.
  bool Start();

  Store& store() { return *store_; }
  Relay& relay(size_t i) { return *relays_[i]; }
  size_t size() const { return nodes_.size(); }
  Node& node(size_t i) { return *nodes_[i]; }
  Endpoint& endpoint(size_t i) { return *endpoints_[i]; }
  const std::string& ip(size_t i) const { return nodes_[i]->options().ip; }
  nlohmann::json Configuration(unsigned version,
                               const std::vector<Route>& routes) const;

 private:
  const Options options_;
  Record* const record_;
  const Place place_;
  std::unique_ptr<Store> store_;
  std::vector<std::unique_ptr<Relay>> relays_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::vector<std::unique_ptr<Endpoint>> endpoints_;
};

// Reads the environment and the arguments, and runs a case. `run` returns the
// exit code.
int RunCase(int argc, char** argv, int (*run)(Record* record, bool trouble));

}  // namespace review

#endif  // REVIEW_STAND_INS_SMALL_FLEET_H_
