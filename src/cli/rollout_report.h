#ifndef DRAGONFLYTACK_SRC_CLI_ROLLOUT_REPORT_H_
#define DRAGONFLYTACK_SRC_CLI_ROLLOUT_REPORT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "cli/fleet.h"
#include "dragonflytack/registry/rollout_share.h"

namespace dragonflytack {

// A roll-out as the nodes show it.
struct RolloutView final {
  // What a release has responded since the order.
  struct Evidence {
    uint64_t responses = 0;
    uint64_t failures = 0;
  };

  // The share in force; its release is empty when it was lifted after the end.
  RolloutShare share;
  // The release of the order; that of the share if no controller responded.
  std::string release;
  // The controller that decides, and what it knows; empty and 0 if no
  // controller responded.
  std::string controller;
  std::string state;
  std::string cause;
  Evidence old_release;
  Evidence new_release;
};

// Fetches the roll-outs from `node` and from the controllers that it names.
// Returns them by service; none if the settings of the node enable none.
std::vector<RolloutView> FetchRollouts(AdminFetcher* fetcher,
                                       const HostPort& node,
                                       const std::vector<FleetNode>& nodes,
                                       Milliseconds timeout);

// Formats roll-outs as a table, empty if there are none, and as JSON.
std::string RolloutsToText(const std::vector<RolloutView>& rollouts);
nlohmann::json RolloutsToJson(const std::vector<RolloutView>& rollouts);

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_CLI_ROLLOUT_REPORT_H_
