#ifndef TOOLS_SUPPORT_FLEET_OPTIONS_H_
#define TOOLS_SUPPORT_FLEET_OPTIONS_H_

#include <string>

namespace dragonflytack {

// Options of the fleet that a measurement or a soak run starts.
struct FleetOptions final {
  // Folder with the programs.
  std::string build_dir = "build";
  // Folder for the settings and logs of the fleet. It must exist.
  std::string work_dir;
  int nodes = 24;
  // Second byte of all addresses. Fleets that run one after the other use
  // different values, so that late connections of one cannot reach the next.
  int network = 20;
  // Second byte of the addresses at which the daemons find the store and their
  // targets, each with the rest of its own address and the usual port; 0 for
  // the store and the targets themselves. The caller relays the connections.
  int relay_network = 0;
  // Makes every node watch the store, as in the baseline.
  bool watch_on_every_node = false;
  // Starts a target beside each node.
  bool targets = false;
  int services = 4;
  int slots = 12;
  double service_ms = 5;
  double trace_sample = 0;
  // Number of regions, each with two data centres; at most 3.
  int regions = 3;
  int drain_timeout_ms = 30'000;
  // Enables roll-outs, with the bounds of the users' deployment. Targets start
  // with the release "v1".
  bool rollouts = false;
  // calls.max_pipelined of the daemons.
  int max_pipelined = 1;
};

}  // namespace dragonflytack

#endif  // TOOLS_SUPPORT_FLEET_OPTIONS_H_
