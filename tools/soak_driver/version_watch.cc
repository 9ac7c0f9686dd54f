#include "soak_driver/version_watch.h"

#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "support/fleet.h"
#include "support/http_batch.h"
#include "support/timing.h"

namespace dragonflytack {

namespace {

constexpr double kPollSeconds = 0.2;
constexpr int kTimeoutMs = 300;

}  // namespace

VersionWatch::VersionWatch(std::vector<std::string> addresses,
                           std::map<std::string, std::string> admin_headers,
                           SoakLog* log)
    : addresses_(std::move(addresses)),
      admin_headers_(std::move(admin_headers)),
      log_(log),
      highest_(addresses_.size()) {
  thread_ = std::thread([this] {
    while (!stopped_) {
      Poll();
      SleepSeconds(kPollSeconds);
    }
  });
}

VersionWatch::~VersionWatch() {
  stopped_ = true;
  thread_.join();
}

void VersionWatch::Poll() {
  std::vector<HttpExchange> exchanges;
  for (const std::string& address : addresses_) {
    exchanges.push_back({.server = {address, Fleet::kAdminPort},
                         .path = "/status",
                         .headers = admin_headers_});
  }
  RunHttpBatch(&exchanges, kTimeoutMs);
  for (size_t i = 0; i < exchanges.size(); ++i) {
    const nlohmann::json status =
        nlohmann::json::parse(exchanges[i].response, nullptr, false);
    if (exchanges[i].status != 200 || !status.is_object() ||
        !status.value("in_force", false)) {
      continue;
    }
    const uint64_t version = status.value("version", uint64_t{0});
    if (version < highest_[i]) {
      log_->ReportFailure(
          {.text = fmt::format("node {} returned from version {} to {}", i,
                               highest_[i], version),
           .node = static_cast<int>(i)});
    }
    highest_[i] = version;
  }
}

}  // namespace dragonflytack
