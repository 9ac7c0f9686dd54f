#include "soak_driver/soak_rollout.h"

#include <sys/wait.h>

#include <utility>
#include <vector>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "support/http_batch.h"

namespace dragonflytack {

namespace {

constexpr char kTimeToDeadline[] = "8";
constexpr int kTimeoutMs = 2000;
constexpr std::chrono::milliseconds kReadPeriod{100};
constexpr int kExitDone = 0;
// An order was written although its response was lost.
constexpr int kExitConflict = 3;

}  // namespace

SoakRollout::SoakRollout(Fleet* fleet,
                         bool is_bad,
                         std::string log_path,
                         SoakLog* log)
    : fleet_(fleet),
      is_bad_(is_bad),
      log_path_(std::move(log_path)),
      log_(log) {}

void SoakRollout::Start() {
  order_ = ChildProcess::Start(
      {fleet_->options().build_dir + "/dragonflytack", "rollout",
       fleet_->nodes().front().service, "v2", kTimeToDeadline, "--store",
       fleet_->store().ToString(), "--timeout", "5"},
      log_path_);
}

void SoakRollout::Poll() {
  const std::optional<int> status =
      order_ ? order_->PollWaitStatus() : std::nullopt;
  if (!status) {
    return;
  }
  const int code = WIFEXITED(*status) ? WEXITSTATUS(*status) : -1;
  log_->Write(fmt::format("roll-out to a {} release, exit code {}",
                          is_bad_ ? "bad" : "good", code));
  order_.reset();
  if (code != kExitDone && code != kExitConflict) {
    Start();
    return;
  }
  SwitchTargets(2, is_bad_ ? R"({"release":"v2","bad_release":true})"
                           : R"({"release":"v2"})");
}

void SoakRollout::SwitchTargets(size_t step,
                                const std::string& switches) const {
  size_t index = 0;
  std::vector<HttpExchange> exchanges;
  for (const Fleet::Node& node : fleet_->nodes()) {
    if (node.service == fleet_->nodes().front().service &&
        index++ % step == 0) {
      exchanges.push_back({.server = {node.address, Fleet::kTargetPort},
                           .path = "/standin/switch",
                           .method = "POST",
                           .body = switches});
    }
  }
  RunHttpBatch(&exchanges, kTimeoutMs);
}

bool SoakRollout::HasEnded() {
  Poll();
  if (order_ || !outcome_.empty()) {
    return !outcome_.empty();
  }
  const auto now = std::chrono::steady_clock::now();
  if (now < next_read_) {
    return false;
  }
  next_read_ = now + kReadPeriod;
  const nlohmann::json order = nlohmann::json::parse(
      fleet_->GetObject("rollout/" + fleet_->nodes().front().service), nullptr,
      false);
  const std::string progress =
      order.is_object() ? order.value("progress", "") : "";
  if (progress == "completed" || progress == "reverted") {
    outcome_ = progress;
    log_->Write("roll-out " + outcome_);
  }
  return !outcome_.empty();
}

void SoakRollout::Finish() {
  SwitchTargets(1, outcome_ == "completed"
                       ? R"({"release":"v2","bad_release":false})"
                       : R"({"release":"v1","bad_release":false})");
}

}  // namespace dragonflytack
