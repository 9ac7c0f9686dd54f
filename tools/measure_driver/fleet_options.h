#ifndef TOOLS_MEASURE_DRIVER_FLEET_OPTIONS_H_
#define TOOLS_MEASURE_DRIVER_FLEET_OPTIONS_H_

#include <string>

namespace dragonflytack {

// What a measurement starts.
struct FleetOptions final {
  // Folder with the programs.
  std::string build_dir = "build";
  // Folder for settings and logs of the fleet; it must exist.
  std::string work_dir;
  int nodes = 24;
  // Second byte of all addresses, so that fleets that run one after the other
  // do not meet.
  int network = 20;
  // Every node watches the store: the baseline.
  bool watch_on_every_node = false;
  // Start a target beside each node.
  bool targets = false;
  int services = 4;
  int slots = 12;
  double service_ms = 5;
  double trace_sample = 0;
};

}  // namespace dragonflytack

#endif  // TOOLS_MEASURE_DRIVER_FLEET_OPTIONS_H_
