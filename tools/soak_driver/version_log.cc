#include "soak_driver/version_log.h"

#include <cstdint>
#include <fstream>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace dragonflytack {

void CheckVersionsInLog(const std::string& work_dir, int node, SoakLog* log) {
  std::ifstream file(fmt::format("{}/n{:04}.log", work_dir, node));
  uint64_t in_force = 0;
  std::string line;
  while (std::getline(file, line)) {
    const nlohmann::json event = nlohmann::json::parse(line, nullptr, false);
    if (!event.is_object() || event.value("event", "") != "table_in_force") {
      continue;
    }
    const uint64_t version = event.value("version", uint64_t{0});
    if (version < in_force) {
      log->ReportFailure(
          {.text = fmt::format("node {} put version {} from {} in force after "
                               "{}, at {}",
                               node, version, event.value("from", ""), in_force,
                               event.value("time", "")),
           .node = node});
    }
    in_force = version;
  }
}

}  // namespace dragonflytack
