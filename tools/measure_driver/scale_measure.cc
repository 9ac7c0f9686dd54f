#include "measure_driver/scale_measure.h"

#include <signal.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <fstream>
#include <string>
#include <thread>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "support/timing.h"

namespace dragonflytack {

namespace {

using SteadyClock = std::chrono::steady_clock;

constexpr int kTableRows = 180;
constexpr int kEdits = 20;
constexpr double kEditGapSeconds = 1;
constexpr double kIdleSeconds = 15;
constexpr double kChurnSeconds = 20;
// Allows the last emulated restarts and failures, and the batches of their
// updates, to finish.
constexpr double kChurnDrainSeconds = 9;
constexpr double kSettleSeconds = 5;
constexpr int kTimeoutMs = 60'000;
constexpr int kConvergenceTimeoutMs = 6000;
constexpr int kEmulatorGateways = 2;
constexpr double kChurnMultiple = 100;
// Per day 540 restarts with five updates each and 26 failures with four.
constexpr double kUpdatesPerDay = 540 * 5 + 26 * 4;
constexpr double kSecondsPerDay = 86'400;

// The limits and the tighter goals of docs/design.md, section 1.4.
constexpr double kResidentLimitMb = 32;
constexpr double kResidentGoalMb = 16;
constexpr double kProcessorLimitPercent = 2.9;
constexpr double kProcessorGoalPercent = 1;
constexpr double kControlBytesLimit = 9000;
constexpr double kControlBytesGoal = 2000;
constexpr double kConvergenceLimitMs = 6000;
constexpr double kConvergenceGoalMs = 1000;

double SnapshotBytes(const std::string& metrics) {
  double bytes = 0;
  for (const char* kind : {"kind=\"records\"", "kind=\"table\""}) {
    // Labels are sorted by name: class, direction, kind.
    bytes += Fleet::SumMetric(metrics, "dragonflytack_control_bytes",
                              fmt::format("direction=\"received\",{}", kind));
  }
  return bytes;
}

}  // namespace

ScaleMeasure::ScaleMeasure(const FleetOptions& options, int records)
    : records_(records),
      fleet_(options),
      writer_(&fleet_, kTableRows),
      report_("scale", records) {}

bool ScaleMeasure::Run() {
  if (!Start()) {
    report_.Print("fleet_started", 1, "failed", 0);
    return false;
  }
  MeasureIdle();
  MeasureMemory();
  MeasureChurn();
  MeasureEdits();
  MeasureRestart();
  return report_.all_met();
}

bool ScaleMeasure::Start() {
  if (!fleet_.StartStore()) {
    return false;
  }
  const TableWriter::WriteResult first = writer_.Write();
  if (first.version == 0 || !fleet_.StartAllNodes()) {
    return false;
  }
  fleet_.StartAnnouncing();
  if (!fleet_.WaitUntilInForce(first.version, kTimeoutMs)) {
    return false;
  }
  const FleetOptions& options = fleet_.options();
  const int real_nodes = static_cast<int>(fleet_.nodes().size());
  const int services = kTableRows - options.services;
  emulator_ = ChildProcess::Start(
      {options.build_dir + "/fleet_emulator", "--config",
       fmt::format("{}/{}.ini", options.work_dir, fleet_.nodes().front().id),
       "--network", fmt::format("127.{}", options.network), "--nodes",
       std::to_string(records_ - real_nodes - kEmulatorGateways), "--services",
       std::to_string(services), "--churn", fmt::format("{}", kChurnMultiple)},
      options.work_dir + "/emulator.log");
  const std::optional<double> spread_s =
      emulator_
          ? fleet_.WaitForMemberCount(static_cast<size_t>(records_), kTimeoutMs)
          : std::nullopt;
  if (spread_s) {
    report_.Print("records_spread", *spread_s, "s");
  }
  return spread_s.has_value();
}

std::vector<ScaleMeasure::Usage> ScaleMeasure::ReadUsage() const {
  std::vector<Usage> usage;
  for (const std::string& text : fleet_.MetricsOfAll()) {
    usage.push_back(
        {Fleet::SumMetric(text, "dragonflytack_link_sent_bytes"),
         Fleet::SumMetric(text, "dragonflytack_processor_milliseconds") / 1000,
         Fleet::SumMetric(text, "dragonflytack_links")});
  }
  return usage;
}

ScaleMeasure::Rates ScaleMeasure::MeasureRates(double seconds) const {
  const std::vector<Usage> before = ReadUsage();
  const SteadyClock::time_point start = SteadyClock::now();
  SleepSeconds(seconds);
  const double elapsed = SecondsSince(start);
  const std::vector<Usage> after = ReadUsage();
  Rates rates;
  for (size_t i = 0; i < before.size(); ++i) {
    const double bytes = (after[i].sent_bytes - before[i].sent_bytes) / elapsed;
    const double percent =
        (after[i].cpu_seconds - before[i].cpu_seconds) / elapsed * 100;
    rates.bytes_per_s_mean += bytes / static_cast<double>(before.size());
    rates.bytes_per_s_worst = std::max(rates.bytes_per_s_worst, bytes);
    rates.cpu_percent_mean += percent / static_cast<double>(before.size());
    rates.cpu_percent_worst = std::max(rates.cpu_percent_worst, percent);
  }
  return rates;
}

void ScaleMeasure::PrintWithGoal(const std::string& figure,
                                 double value,
                                 const std::string& unit,
                                 double limit,
                                 double goal) {
  report_.Print(figure, value, unit, limit);
  // A separate report, so that a missed goal does not fail the measurement.
  Report goals("scale", records_);
  goals.Print(figure + "_goal", value, unit, goal);
}

void ScaleMeasure::MeasureMemory() {
  double total = 0;
  double worst = 0;
  for (const Fleet::Node& node : fleet_.nodes()) {
    const double megabytes =
        static_cast<double>(node.daemon->ResidentBytes()) / 1e6;
    total += megabytes;
    worst = std::max(worst, megabytes);
  }
  PrintWithGoal("resident_mean",
                total / static_cast<double>(fleet_.nodes().size()), "MB",
                kResidentLimitMb, kResidentGoalMb);
  PrintWithGoal("resident_worst", worst, "MB", kResidentLimitMb,
                kResidentGoalMb);
}

void ScaleMeasure::MeasureIdle() {
  SleepSeconds(kSettleSeconds);
  idle_rates_ = MeasureRates(kIdleSeconds);
  PrintWithGoal("quiet_processor_mean", idle_rates_.cpu_percent_mean,
                "% of a core", kProcessorLimitPercent, kProcessorGoalPercent);
  PrintWithGoal("quiet_processor_worst", idle_rates_.cpu_percent_worst,
                "% of a core", kProcessorLimitPercent, kProcessorGoalPercent);
  PrintWithGoal("quiet_control_bytes_mean", idle_rates_.bytes_per_s_mean, "B/s",
                kControlBytesLimit, kControlBytesGoal);
  PrintWithGoal("quiet_control_bytes_worst", idle_rates_.bytes_per_s_worst,
                "B/s", kControlBytesLimit, kControlBytesGoal);
  double links = 0;
  for (const Usage& usage : ReadUsage()) {
    links += usage.links / static_cast<double>(fleet_.nodes().size());
  }
  report_.Print("links_mean", links, "links");
}

std::optional<uint64_t> ScaleMeasure::ChurnUpdates() const {
  std::ifstream log(fleet_.options().work_dir + "/emulator.log");
  std::optional<uint64_t> updates;
  for (std::string line; std::getline(log, line);) {
    const nlohmann::json entry = nlohmann::json::parse(line, nullptr, false);
    if (entry.is_object() && entry.value("event", "") == "churn_stopped") {
      updates = entry.value("updates", uint64_t{0});
    }
  }
  return updates;
}

void ScaleMeasure::MeasureChurn() {
  emulator_->Signal(SIGUSR1);
  const Rates churn = MeasureRates(kChurnSeconds);
  emulator_->Signal(SIGUSR2);
  SleepSeconds(kChurnDrainSeconds);
  const std::optional<uint64_t> updates = ChurnUpdates();
  if (!updates || *updates == 0) {
    report_.Print("churn_ran", 1, "failed", 0);
    return;
  }
  const double rate = static_cast<double>(*updates) / kChurnSeconds;
  const double true_rate = kUpdatesPerDay / kSecondsPerDay;
  report_.Print("churn_updates", rate, "updates/s");
  report_.Print("churn_100x_processor_mean", churn.cpu_percent_mean,
                "% of a core");
  report_.Print("churn_100x_control_bytes_mean", churn.bytes_per_s_mean, "B/s");
  const double percent_slope =
      (churn.cpu_percent_mean - idle_rates_.cpu_percent_mean) / rate;
  // 1% of a core during one second is 10 ms.
  report_.Print("processor_per_update", percent_slope * 10, "ms");
  PrintWithGoal("churn_processor_mean",
                idle_rates_.cpu_percent_mean + percent_slope * true_rate,
                "% of a core", kProcessorLimitPercent, kProcessorGoalPercent);
  const double bytes_slope =
      (churn.bytes_per_s_mean - idle_rates_.bytes_per_s_mean) / rate;
  report_.Print("control_bytes_per_update", bytes_slope, "B");
  PrintWithGoal("churn_control_bytes_mean",
                idle_rates_.bytes_per_s_mean + bytes_slope * true_rate, "B/s",
                kControlBytesLimit, kControlBytesGoal);
}

std::optional<double> ScaleMeasure::ConvergenceMs(
    const TableWriter::WriteResult& accepted) {
  if (accepted.version == 0 ||
      !fleet_.WaitUntilInForce(accepted.version, kConvergenceTimeoutMs)) {
    return std::nullopt;
  }
  int64_t last_ms = accepted.time_ms;
  for (const nlohmann::json& status : fleet_.FetchAll("/status")) {
    if (!status.is_object()) {
      return std::nullopt;
    }
    // A node may skip this version and go directly to a newer one.
    for (const nlohmann::json& entry : status["versions"]) {
      if (entry.value("version", uint64_t{0}) >= accepted.version) {
        last_ms = std::max(last_ms, entry.value("time_ms", int64_t{0}));
        break;
      }
    }
  }
  return static_cast<double>(last_ms - accepted.time_ms);
}

void ScaleMeasure::MeasureEdits() {
  std::vector<TableWriter::WriteResult> accepted;
  for (int i = 0; i < kEdits; ++i) {
    accepted.push_back(writer_.EditOneCell());
    SleepSeconds(kEditGapSeconds);
  }
  std::vector<double> milliseconds;
  for (const TableWriter::WriteResult& edit : accepted) {
    milliseconds.push_back(ConvergenceMs(edit).value_or(kConvergenceLimitMs));
  }
  std::sort(milliseconds.begin(), milliseconds.end());
  report_.Print("edit_convergence_p50", milliseconds[milliseconds.size() / 2],
                "ms");
  // With 20 edits the 99th percentile is the maximum.
  PrintWithGoal("edit_convergence_p99", milliseconds.back(), "ms",
                kConvergenceLimitMs, kConvergenceGoalMs);
}

void ScaleMeasure::MeasureRestart() {
  // Avoids the first nodes, which are more often gateways or seeds.
  const size_t index = fleet_.nodes().size() / 2;
  const TableWriter::WriteResult edit = writer_.EditOneCell();
  if (!fleet_.WaitUntilInForce(edit.version, kTimeoutMs)) {
    report_.Print("restart_ran", 1, "failed", 0);
    return;
  }
  fleet_.nodes()[index].daemon->Kill();
  const SteadyClock::time_point start = SteadyClock::now();
  fleet_.StartNode(index);
  const bool in_force =
      fleet_.WaitUntilInForce(edit.version, kTimeoutMs).has_value();
  const double in_force_s = SecondsSince(start);
  const bool complete =
      fleet_.WaitForMemberCount(static_cast<size_t>(records_), kTimeoutMs)
          .has_value();
  const double complete_s = SecondsSince(start);
  report_.Print("restart_in_force", in_force ? in_force_s : kTimeoutMs / 1000.0,
                "s", kConvergenceLimitMs / 1000);
  report_.Print("restart_all_records",
                complete ? complete_s : kTimeoutMs / 1000.0, "s",
                kConvergenceLimitMs / 1000);
  report_.Print("snapshot_bytes", SnapshotBytes(fleet_.MetricsOfAll()[index]),
                "B");
  report_.Print(
      "resident_after_restart",
      static_cast<double>(fleet_.nodes()[index].daemon->ResidentBytes()) / 1e6,
      "MB", kResidentLimitMb);
}

}  // namespace dragonflytack
