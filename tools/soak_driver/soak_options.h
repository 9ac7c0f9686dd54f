#ifndef TOOLS_SOAK_DRIVER_SOAK_OPTIONS_H_
#define TOOLS_SOAK_DRIVER_SOAK_OPTIONS_H_

#include <cstdint>
#include <string>

namespace dragonflytack {

// Options of the run of one seed.
struct SoakOptions final {
  uint64_t seed = 1;
  int nodes = 8;
  // How long faults begin.
  double seconds = 12;
  int callers_per_node = 4;
  // Folder with the programs.
  std::string build_dir;
  // Folder for settings and logs. It must exist.
  std::string work_dir;
  // Second byte of the addresses. The next one is used as well.
  int network = 200;
  // Relays the connections of the daemons to the store and to their targets,
  // with faults.
  bool connection_faults = false;
  // Adds a restart at which only peers with an older table can be reached.
  bool stale_peers = false;
  // Adds returns of the store from copies some seconds old.
  bool store_returns = false;
  // Callers present no keys that they chose themselves, whose claims are
  // objects of the store.
  bool issued_keys_only = false;
  // A service is moved to a new release during the run.
  bool rollouts = false;
  // The table has client accounts, of which a key is revoked during the run.
  bool accounts = false;
};

}  // namespace dragonflytack

#endif  // TOOLS_SOAK_DRIVER_SOAK_OPTIONS_H_
