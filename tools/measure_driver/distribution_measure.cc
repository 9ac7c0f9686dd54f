#include "measure_driver/distribution_measure.h"

#include <signal.h>

#include <algorithm>
#include <chrono>
#include <thread>

#include "support/timing.h"

namespace dragonflytack {

namespace {

using SteadyClock = std::chrono::steady_clock;

constexpr int kTableRows = 180;
constexpr int kEdits = 50;
// 2.5 edits a second stay within a speaker's budget of store calls and are 83
// times the daily pace.
constexpr int kEditGapMs = 400;
constexpr double kEditsPerSecondAtTwoYears = 2600.0 / 86'400;
constexpr int kQuietSeconds = 10;
constexpr int kConvergenceTimeoutMs = 6000;
constexpr int kRecoveryTimeoutMs = 60'000;
constexpr double kRecoveryTimeoutSeconds = kRecoveryTimeoutMs / 1000.0;
constexpr int kOutageSeconds = 8;
// Links that a node needed only to join are closed after 10 s.
constexpr int kStartSettleSeconds = 15;
constexpr int kSettleSeconds = 3;

// The limits of the two-year size and the tighter goals of docs/design.md.
constexpr double kConvergenceP99TargetMs = 1000;
constexpr double kControlBytesTarget = 2000;
constexpr double kResidentTargetMb = 16;
constexpr double kProcessorTargetPercent = 1.0;
constexpr double kRecoveryTargetMs = 6000;

double QuantileOf(std::vector<double> values, double quantile) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  const size_t index =
      static_cast<size_t>(quantile * static_cast<double>(values.size()));
  return values[std::min(index, values.size() - 1)];
}

}  // namespace

DistributionMeasure::DistributionMeasure(const FleetOptions& options,
                                         const std::string& mode)
    : fleet_(options),
      writer_(&fleet_, kTableRows),
      report_(mode, options.nodes) {}

bool DistributionMeasure::Run() {
  if (!Start()) {
    report_.Print("fleet_started", 1, "failed", 0);
    return false;
  }
  MeasureQuiet();
  MeasureEdits();
  MeasureMemory();
  if (fleet_.options().watch_on_every_node) {
    return report_.all_met();
  }
  MeasureHerd();
  MeasureStoreOutage();
  return report_.all_met();
}

bool DistributionMeasure::Start() {
  if (!fleet_.StartStore()) {
    return false;
  }
  const TableWriter::Accepted first = writer_.Write();
  const SteadyClock::time_point start = SteadyClock::now();
  if (first.version == 0 || !fleet_.StartAllNodes()) {
    return false;
  }
  fleet_.StartAnnouncing();
  if (!fleet_.WaitInForce(first.version, kRecoveryTimeoutMs)) {
    return false;
  }
  report_.Print("fleet_start", SecondsSince(start), "s");
  return fleet_.WaitMembers(fleet_.nodes().size(), kRecoveryTimeoutMs)
      .has_value();
}

std::vector<DistributionMeasure::Usage> DistributionMeasure::ReadUsage() const {
  std::vector<Usage> usage;
  for (const std::string& text : fleet_.MetricsOfAll()) {
    constexpr const char* kSent = "dragonflytack_link_sent_bytes";
    usage.push_back(
        {Fleet::SumMetric(text, kSent),
         Fleet::SumMetric(text, kSent, "class=\"other_region\""),
         Fleet::SumMetric(text, "dragonflytack_processor_milliseconds") /
             1000});
  }
  return usage;
}

DistributionMeasure::NodeRates DistributionMeasure::RatesOf(
    const std::vector<Usage>& before,
    const std::vector<Usage>& after,
    double seconds) {
  const double nodes = static_cast<double>(before.size());
  NodeRates rates;
  for (size_t i = 0; i < before.size(); ++i) {
    const double bytes = (after[i].sent_bytes - before[i].sent_bytes) / seconds;
    const double percent =
        (after[i].cpu_seconds - before[i].cpu_seconds) / seconds * 100;
    rates.bytes_mean += bytes / nodes;
    rates.bytes_worst = std::max(rates.bytes_worst, bytes);
    rates.processor_mean += percent / nodes;
    rates.processor_worst = std::max(rates.processor_worst, percent);
    rates.between_regions +=
        (after[i].sent_other_region_bytes - before[i].sent_other_region_bytes) /
        seconds;
  }
  return rates;
}

void DistributionMeasure::PrintRates(const std::string& phase,
                                     const NodeRates& rates) {
  report_.Print(phase + "_control_bytes_mean", rates.bytes_mean, "B/s",
                kControlBytesTarget);
  report_.Print(phase + "_control_bytes_worst", rates.bytes_worst, "B/s",
                kControlBytesTarget);
  report_.Print(phase + "_control_bytes_between_regions", rates.between_regions,
                "B/s");
  report_.Print(phase + "_processor_mean", rates.processor_mean, "% of a core",
                kProcessorTargetPercent);
  report_.Print(phase + "_processor_worst", rates.processor_worst,
                "% of a core", kProcessorTargetPercent);
}

void DistributionMeasure::MeasureQuiet() {
  SleepSeconds(kStartSettleSeconds);
  const std::vector<Usage> before = ReadUsage();
  const uint64_t calls_before = fleet_.StoreCalls();
  const SteadyClock::time_point start = SteadyClock::now();
  SleepSeconds(kQuietSeconds);
  const double seconds = SecondsSince(start);
  const uint64_t calls = fleet_.StoreCalls() - calls_before;
  quiet_ = RatesOf(before, ReadUsage(), seconds);
  PrintRates("quiet", quiet_);
  report_.Print("quiet_store_calls", static_cast<double>(calls) / seconds,
                "calls/s");
  report_.Print("quiet_store_watches", fleet_.WaitingWatches(), "watches");
}

std::optional<double> DistributionMeasure::ConvergenceMs(
    const TableWriter::Accepted& accepted,
    int timeout_ms) {
  if (accepted.version == 0 ||
      !fleet_.WaitInForce(accepted.version, timeout_ms)) {
    return std::nullopt;
  }
  double last_ms = 0;
  for (const nlohmann::json& status : fleet_.AskAll("/status")) {
    if (!status.is_object()) {
      continue;
    }
    // A node may go from an older to a newer version without this one.
    int64_t in_force_ms = 0;
    for (const nlohmann::json& entry : status["versions"]) {
      if (entry.value("version", uint64_t{0}) >= accepted.version) {
        in_force_ms = entry.value("time_ms", int64_t{0});
        break;
      }
    }
    last_ms =
        std::max(last_ms, static_cast<double>(in_force_ms - accepted.time_ms));
  }
  return last_ms;
}

void DistributionMeasure::MeasureEdits() {
  const std::vector<Usage> before = ReadUsage();
  const uint64_t calls_before = fleet_.StoreCalls();
  const SteadyClock::time_point start = SteadyClock::now();
  std::vector<TableWriter::Accepted> accepted;
  for (int i = 0; i < kEdits; ++i) {
    accepted.push_back(writer_.EditOneCell());
    std::this_thread::sleep_for(std::chrono::milliseconds(kEditGapMs));
  }
  std::vector<double> convergence_ms;
  int missed = 0;
  for (const TableWriter::Accepted& edit : accepted) {
    const std::optional<double> ms = ConvergenceMs(edit, kConvergenceTimeoutMs);
    missed += ms ? 0 : 1;
    convergence_ms.push_back(ms.value_or(kConvergenceTimeoutMs));
  }
  const double seconds = SecondsSince(start);
  const std::vector<Usage> after = ReadUsage();
  const uint64_t calls = fleet_.StoreCalls() - calls_before;
  report_.Print("edit_convergence_p50", QuantileOf(convergence_ms, 0.5), "ms");
  report_.Print("edit_convergence_p99", QuantileOf(convergence_ms, 0.99), "ms",
                kConvergenceP99TargetMs);
  report_.Print("edit_convergence_max", QuantileOf(convergence_ms, 1.0), "ms",
                kRecoveryTargetMs);
  report_.Print("edits_missed", missed, "edits", 0);
  // The edits come many times faster than in a day, so what one of them adds is
  // taken from the run and put at the pace of the two-year size.
  const NodeRates busy = RatesOf(before, after, seconds);
  const auto per_edit = [&](double NodeRates::*rate) {
    return std::max(0.0, busy.*rate - quiet_.*rate) * seconds / kEdits;
  };
  report_.Print("edit_control_bytes", per_edit(&NodeRates::bytes_mean),
                "B per node");
  report_.Print("edit_control_bytes_worst", per_edit(&NodeRates::bytes_worst),
                "B per node");
  report_.Print("edit_bytes_between_regions",
                per_edit(&NodeRates::between_regions), "B in all");
  report_.Print("edit_processor_time",
                per_edit(&NodeRates::processor_mean) * 10, "ms per node");
  NodeRates daily = quiet_;
  for (double NodeRates::*rate :
       {&NodeRates::bytes_mean, &NodeRates::bytes_worst,
        &NodeRates::between_regions, &NodeRates::processor_mean,
        &NodeRates::processor_worst}) {
    daily.*rate += per_edit(rate) * kEditsPerSecondAtTwoYears;
  }
  PrintRates("daily_pace", daily);
  report_.Print("store_calls_per_edit", static_cast<double>(calls) / kEdits,
                "calls");
}

void DistributionMeasure::MeasureMemory() {
  double total = 0;
  double worst = 0;
  for (const Fleet::Node& node : fleet_.nodes()) {
    if (node.daemon) {
      const double megabytes =
          static_cast<double>(node.daemon->ResidentBytes()) / 1e6;
      total += megabytes;
      worst = std::max(worst, megabytes);
    }
  }
  report_.Print("resident_mean",
                total / static_cast<double>(fleet_.RunningCount()), "MB",
                kResidentTargetMb);
  report_.Print("resident_worst", worst, "MB", kResidentTargetMb);
}

double DistributionMeasure::PeakStoreCalls(double seconds) const {
  double peak = 0;
  uint64_t last = fleet_.StoreCalls();
  for (int i = 0; i < static_cast<int>(seconds); ++i) {
    const SteadyClock::time_point start = SteadyClock::now();
    SleepSeconds(1);
    const uint64_t now = fleet_.StoreCalls();
    peak =
        std::max(peak, static_cast<double>(now - last) / SecondsSince(start));
    last = now;
  }
  return peak;
}

void DistributionMeasure::MeasureHerd() {
  std::vector<size_t> killed;
  for (size_t i = 0; i < fleet_.nodes().size(); ++i) {
    // Every third node, spread over the data centres: peers of the same data
    // centre must be left to notice a death.
    if ((i / Fleet::kDataCentres + i) % 3 != 0) {
      continue;
    }
    fleet_.nodes()[i].daemon->Kill();
    fleet_.nodes()[i].daemon.reset();
    killed.push_back(i);
  }
  const std::optional<double> survivors_ms =
      ConvergenceMs(writer_.EditOneCell(), kRecoveryTimeoutMs);
  report_.Print("herd_death_edit_convergence",
                survivors_ms.value_or(kRecoveryTimeoutMs), "ms",
                kRecoveryTargetMs);
  const std::optional<double> detected_s =
      fleet_.WaitMembers(fleet_.RunningCount(), kRecoveryTimeoutMs);
  report_.Print("herd_death_detection",
                detected_s.value_or(kRecoveryTimeoutSeconds), "s");

  const TableWriter::Accepted edit = writer_.EditOneCell();
  double peak = 0;
  std::thread watcher([this, &peak] { peak = PeakStoreCalls(3); });
  for (const size_t index : killed) {
    fleet_.StartNode(index);
  }
  watcher.join();
  const std::optional<double> back_s =
      fleet_.WaitInForce(edit.version, kRecoveryTimeoutMs);
  const std::optional<double> members_s =
      fleet_.WaitMembers(fleet_.nodes().size(), kRecoveryTimeoutMs);
  report_.Print("herd_restart_in_force",
                back_s ? 3 + *back_s : kRecoveryTimeoutSeconds, "s");
  report_.Print(
      "herd_restart_all_known",
      back_s && members_s ? 3 + *back_s + *members_s : kRecoveryTimeoutSeconds,
      "s");
  report_.Print("herd_restart_store_calls_peak", peak, "calls/s", 2000);
}

void DistributionMeasure::MeasureStoreOutage() {
  SleepSeconds(kSettleSeconds);
  fleet_.SetStoreFault("outage=refuse");
  SleepSeconds(kOutageSeconds);
  const std::vector<nlohmann::json> during = fleet_.AskAll("/status");
  const auto in_force = std::count_if(
      during.begin(), during.end(), [](const nlohmann::json& status) {
        return status.is_object() && status.value("version", 0u) > 0;
      });
  report_.PrintAtLeast("outage_nodes_with_table", static_cast<double>(in_force),
                       "nodes", static_cast<double>(fleet_.RunningCount()));
  fleet_.SetStoreFault("outage=off");
  double peak = 0;
  std::thread watcher([this, &peak] { peak = PeakStoreCalls(5); });
  const std::optional<double> ms =
      ConvergenceMs(writer_.EditOneCell(), kRecoveryTimeoutMs);
  watcher.join();
  report_.Print("outage_end_edit_convergence", ms.value_or(kRecoveryTimeoutMs),
                "ms", kRecoveryTargetMs);
  report_.Print("outage_end_store_calls_peak", peak, "calls/s", 2000);
}

}  // namespace dragonflytack
