#include "soak_driver/version_watch.h"

#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "soak_driver/table_edits.h"
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
      highest_(addresses_.size()),
      highest_values_(addresses_.size()) {
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
    exchanges.push_back({.server = {address, Fleet::kAdminPort},
                         .path = "/table",
                         .headers = admin_headers_});
  }
  RunHttpBatch(&exchanges, kTimeoutMs);
  for (size_t i = 0; i < addresses_.size(); ++i) {
    const HttpExchange& exchange = exchanges[2 * i];
    if (exchanges[2 * i + 1].status == 200) {
      CheckValues(i, exchanges[2 * i + 1].response);
    }
    const nlohmann::json status =
        nlohmann::json::parse(exchange.response, nullptr, false);
    if (exchange.status != 200 || !status.is_object() ||
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

void VersionWatch::CheckValues(size_t node, const std::string& table) {
  for (const auto& [service, value] : TableEdits::ValuesOf(table)) {
    int& highest = highest_values_[node][service];
    if (value < highest) {
      log_->ReportFailure(
          {.text = fmt::format("node {} returned from value {} of {} to {}",
                               node, highest, service, value),
           .node = static_cast<int>(node)});
    }
    highest = value;
  }
}

}  // namespace dragonflytack
