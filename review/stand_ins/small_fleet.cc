#include "small_fleet.h"

#include <algorithm>
#include <cstdlib>
#include <set>

namespace review {

SmallFleet::SmallFleet(const Options& options, Record* record)
    : options_(options), record_(record) {}

nlohmann::json SmallFleet::Configuration(
    unsigned version,
    const std::vector<Route>& routes) const {
  const std::set<std::string> services(options_.services.begin(),
                                       options_.services.end());
  return MakeConfiguration(version, routes, {services.begin(), services.end()});
}

bool SmallFleet::Start() {
  const std::string store_ip = place_.Ip(200);
  store_ = std::make_unique<Store>(store_ip, kStore);
  for (size_t i = 0; options_.with_relays && i < options_.services.size();
       ++i) {
    relays_.push_back(std::make_unique<Relay>(
        store_ip, static_cast<uint16_t>(kRelay + i), store_ip, kStore));
  }
  if (!place_.ok() || !store_->ok() ||
      std::any_of(relays_.begin(), relays_.end(),
                  [](const auto& relay) { return !relay->ok(); })) {
    record_->Line("cannot run: no free addresses");
    return false;
  }
  store_->Configure(Configuration(4, options_.routes));
  for (size_t i = 0; i < options_.services.size(); ++i) {
    const std::string number = std::to_string(i + 1);
    const Node::Options node{
        .id = "sidecar-" + number,
        .ip = place_.Ip(static_cast<int>(i) + 1),
        .zone = options_.in_one_zone ? "zone-1" : "zone-" + number,
        .region = "region-1",
        .service = options_.services[i],
        .store = store_ip + ":" +
                 std::to_string(options_.with_relays ? kRelay + i : kStore),
        .bounds = {{"grace", "6s"},
                   {"retry_budget_ratio", "0.2"},
                   {"budget_window", "10s"},
                   {"budget_slack", "60"}}};
    nodes_.push_back(std::make_unique<Node>(node, place_.folder(), record_));
    endpoints_.push_back(
        std::make_unique<Endpoint>(Endpoint::Options{.name = number,
                                                     .address = node.ip,
                                                     .port = kApp,
                                                     .control_port = kControl,
                                                     .service = node.service,
                                                     .id = "i-0000000" + number,
                                                     .zone = node.zone,
                                                     .slots = options_.slots,
                                                     .work_s = options_.work_s},
                                   record_));
    if (!nodes_.back()->Start() || !endpoints_.back()->Start()) {
      record_->Line("cannot run: machine %s does not start", number.c_str());
      return false;
    }
  }
  for (const auto& node : nodes_) {
    if (!node->WaitUntilReady(20)) {
      record_->Line("cannot run: node %s is not ready",
                    node->options().id.c_str());
      return false;
    }
  }
  SleepFor(kSettleSeconds + 2);
  record_->Line("all machines are in touch");
  return true;
}

int RunCase(int argc, char** argv, int (*run)(Record* record, bool trouble)) {
  if (argc < 2) {
    return 2;
  }
  Record record(argv[1]);
  const char* const trouble = std::getenv("TROUBLE");
  const bool with_trouble = trouble == nullptr || std::string(trouble) != "0";
  const int result = run(&record, with_trouble);
  record.Line("%s", result == 0   ? "the rule held"
                    : result == 1 ? "the rule is broken"
                                  : "the case could not run");
  return result;
}

}  // namespace review
