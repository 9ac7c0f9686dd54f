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

// Reads the table version in force from the admin ports of all nodes again and
// again, and reports a node that returns to an older one, restarts included.
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
  std::vector<uint64_t> highest_;
  std::atomic<bool> stopped_{false};
  std::thread thread_;
};

}  // namespace dragonflytack

#endif  // TOOLS_SOAK_DRIVER_VERSION_WATCH_H_
