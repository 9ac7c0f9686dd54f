#ifndef TOOLS_SOAK_DRIVER_VERSION_WATCH_H_
#define TOOLS_SOAK_DRIVER_VERSION_WATCH_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <string>
#include <thread>
#include <vector>

#include "soak_driver/soak_log.h"

namespace dragonflytack {

// Reads the table in force from the admin ports of all nodes again and again,
// and reports a node that returns to an older version, or to an older value
// under a newer version, restarts included. Values of the edited column only
// rise (TableEdits).
class VersionWatch final {
 public:
  VersionWatch(std::vector<std::string> addresses,
               std::map<std::string, std::string> admin_headers,
               SoakLog* log);
  ~VersionWatch();
  VersionWatch(const VersionWatch&) = delete;
  VersionWatch& operator=(const VersionWatch&) = delete;

 private:
  void Poll();

  const std::vector<std::string> addresses_;
  const std::map<std::string, std::string> admin_headers_;
  SoakLog* const log_;
  // Checks the values of the edited column in a table of a node.
  void CheckValues(size_t node, const std::string& table);

  std::vector<uint64_t> highest_;
  // The highest value of each service at each node.
  std::vector<std::map<std::string, int>> highest_values_;
  std::atomic<bool> stopped_{false};
  std::thread thread_;
};

}  // namespace dragonflytack

#endif  // TOOLS_SOAK_DRIVER_VERSION_WATCH_H_
