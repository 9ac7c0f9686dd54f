#include "measure_driver/calls_measure.h"

#include <signal.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <thread>
#include <utility>

#include <fmt/format.h>

#include "support/http_batch.h"
#include "support/load_generator.h"

namespace dragonflytack {

namespace {

using SteadyClock = std::chrono::steady_clock;

constexpr const char* kIdempotentService = "roster";
constexpr const char* kOneTimeService = "booking";
constexpr int kTimeoutMs = 5000;
constexpr int kReadyTimeoutMs = 30'000;
// Longer than the deadline of the calls, so that calls in flight when the fault
// starts expire during it.
constexpr int kFaultDurationMs = 4000;
constexpr double kCallsPerNode = 100;
constexpr double kAddedLatencyTargetMs = 1.6;
constexpr double kDrainTargetSeconds = 3;
// Minimum goodput: up to the capacity as a share of the offered load, beyond it
// as a share of the goodput at the capacity.
constexpr double kMinGoodputRatio = 0.9;

void SleepMs(int milliseconds) {
  std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

}  // namespace

CallsMeasure::CallsMeasure(const FleetOptions& options,
                           const std::string& phase)
    : phase_(phase),
      fleet_(options),
      writer_(&fleet_, options.services),
      report_("mesh", options.nodes) {
  writer_.document().rows[kOneTimeService].kind = ServiceKind::kOneTime;
  for (auto& [service, row] : writer_.document().rows) {
    row.deadline_ms = 2000;
  }
}

bool CallsMeasure::Run() {
  if (!Start()) {
    report_.Print("fleet_started", 1, "failed", 0);
    return false;
  }
  static constexpr std::pair<const char*, void (CallsMeasure::*)()> kPhases[] =
      {
          {"latency", &CallsMeasure::MeasureLatency},
          {"saturation", &CallsMeasure::MeasureSaturation},
          {"overload", &CallsMeasure::MeasureOverload},
          {"faults", &CallsMeasure::MeasureFaults},
          {"drain", &CallsMeasure::MeasureDrain},
          {"rolling", &CallsMeasure::MeasureRollingRestart},
      };
  for (const auto& [name, measure] : kPhases) {
    if (phase_ == "all" || phase_ == name) {
      (this->*measure)();
    }
  }
  return report_.all_met();
}

bool CallsMeasure::Start() {
  if (!fleet_.StartStore()) {
    return false;
  }
  const TableWriter::WriteResult first = writer_.Write();
  if (first.version == 0 || !fleet_.StartAllNodes() ||
      !fleet_.WaitUntilInForce(first.version, kReadyTimeoutMs) ||
      !fleet_.WaitForMemberCount(fleet_.nodes().size(), kReadyTimeoutMs)) {
    return false;
  }
  // Targets send an announcement every second; allows for two announcements and
  // the distribution of the records.
  SleepMs(2500);
  return true;
}

LoadPlan CallsMeasure::MeshPlan(const std::string& service,
                                const std::string& run) const {
  LoadPlan plan;
  for (size_t i = 0; i < fleet_.nodes().size(); ++i) {
    plan.entries.push_back(fleet_.EntryOf(i));
  }
  plan.path = "/" + service + "/measure";
  plan.run_id = run;
  return plan;
}

LoadPlan CallsMeasure::DirectPlan(const std::string& service,
                                  const std::string& run) const {
  LoadPlan plan;
  for (const Fleet::Node& node : fleet_.nodes()) {
    if (node.service == service) {
      plan.entries.push_back({node.address, Fleet::kTargetPort});
    }
  }
  plan.path = "/measure";
  plan.run_id = run;
  return plan;
}

double CallsMeasure::CapacityPerSecond() const {
  const double endpoints =
      static_cast<double>(DirectPlan(kIdempotentService, "").entries.size());
  return endpoints * fleet_.options().slots * 1000 /
         fleet_.options().service_ms;
}

double CallsMeasure::DaemonCpuSeconds() const {
  double seconds = 0;
  for (const Fleet::Node& node : fleet_.nodes()) {
    seconds += node.daemon ? node.daemon->CpuSeconds() : 0;
  }
  return seconds;
}

void CallsMeasure::CheckResponses(const std::string& figure,
                                  const LoadResult& result) {
  report_.Print(figure + "_wrong_answers",
                static_cast<double>(result.wrong_response), "calls", 0);
  report_.Print(figure + "_hung", static_cast<double>(result.hung), "calls", 0);
}

std::string CallsMeasure::ChainOf(int depth) const {
  const size_t data_centres = Fleet::kDataCentres;
  std::string chain;
  for (int i = 1; i < depth; ++i) {
    const size_t position =
        static_cast<size_t>(i % fleet_.options().services) * data_centres;
    chain += (chain.empty() ? "" : ",") + fleet_.nodes()[position].service;
  }
  return chain;
}

void CallsMeasure::MeasureLatency() {
  const double rate = kCallsPerNode * fleet_.options().nodes;
  LoadPlan direct = DirectPlan(kIdempotentService, "direct");
  direct.calls_per_second = rate;
  direct.warm_up_seconds = 1;
  const LoadResult base = LoadGenerator(direct).Run();
  report_.Print("direct_p50", base.LatencyMs(0.5), "ms");
  report_.Print("direct_p99", base.LatencyMs(0.99), "ms");
  for (const int depth : {1, 3, 9}) {
    const std::string chain = ChainOf(depth);
    LoadPlan plan =
        MeshPlan(kIdempotentService, fmt::format("latency-{}", depth));
    plan.calls_per_second = rate / depth;
    plan.warm_up_seconds = 1;
    if (!chain.empty()) {
      plan.headers["x-chain"] = chain;
    }
    const LoadResult result = LoadGenerator(plan).Run();
    const std::string figure = fmt::format("chain_{}", depth);
    report_.Print(figure + "_p99", result.LatencyMs(0.99), "ms");
    if (depth == 1) {
      // Both p99 values include the scheduling delays of the load generator,
      // which dominate on a busy machine.
      report_.Print("added_p99", result.LatencyMs(0.99) - base.LatencyMs(0.99),
                    "ms", kAddedLatencyTargetMs);
    }
    report_.Print(figure + "_added_p50",
                  (result.LatencyMs(0.5) - depth * base.LatencyMs(0.5)) / depth,
                  "ms per hop");
    report_.Print(
        figure + "_added_p99",
        (result.LatencyMs(0.99) - depth * base.LatencyMs(0.5)) / depth,
        "ms per hop");
    report_.Print(figure + "_not_done",
                  static_cast<double>(result.sent - result.done), "calls", 0);
    CheckResponses(figure, result);
  }
}

void CallsMeasure::MeasureSaturation() {
  for (const double rate : {2000.0, 4000.0, 8000.0}) {
    LoadPlan plan =
        MeshPlan(kIdempotentService, fmt::format("saturation-{:.0f}", rate));
    plan.calls_per_second = rate;
    plan.seconds = 3;
    const double cpu_before = DaemonCpuSeconds();
    const LoadResult result = LoadGenerator(plan).Run();
    const double cpu = DaemonCpuSeconds() - cpu_before;
    const std::string figure = fmt::format("offered_{:.0f}", rate);
    report_.Print(figure + "_done", result.GoodputPerSecond(), "calls/s");
    report_.Print(figure + "_p99", result.LatencyMs(0.99), "ms");
    report_.Print(figure + "_calls_per_core",
                  cpu > 0 ? static_cast<double>(result.done) / cpu : 0,
                  "calls per second of processor time");
    CheckResponses(figure, result);
  }
}

void CallsMeasure::MeasureOverload() {
  const double capacity = CapacityPerSecond();
  report_.Print("capacity", capacity, "calls/s");
  double at_capacity = 0;
  for (const double factor : {0.5, 1.0, 2.0, 4.0}) {
    for (const bool mesh : {true, false}) {
      const std::string run =
          fmt::format("overload-{}-{}", mesh ? "mesh" : "direct", factor);
      LoadPlan plan = mesh ? MeshPlan(kIdempotentService, run)
                           : DirectPlan(kIdempotentService, run);
      plan.calls_per_second = capacity * factor;
      plan.seconds = 5;
      plan.warm_up_seconds = 1;
      // Without the mesh only the caller enforces the deadline.
      plan.hang_timeout_ms = mesh ? kTimeoutMs : 500;
      plan.headers["x-deadline-ms"] = "500";
      const LoadResult result = LoadGenerator(plan).Run();
      const std::string figure =
          fmt::format("{}_goodput_at_{}", mesh ? "mesh" : "baseline", factor);
      if (!mesh) {
        report_.Print(figure, result.GoodputPerSecond(), "calls/s");
        continue;
      }
      at_capacity = factor == 1.0 ? result.GoodputPerSecond() : at_capacity;
      report_.PrintAtLeast(figure, result.GoodputPerSecond(), "calls/s",
                           factor > 1 ? kMinGoodputRatio * at_capacity
                                      : kMinGoodputRatio * capacity * factor);
      report_.Print(figure + "_p99", result.LatencyMs(0.99), "ms");
      CheckResponses(figure, result);
    }
  }
}

bool CallsMeasure::SwitchTarget(size_t index, const std::string& json) const {
  return RunHttp({.server = {fleet_.nodes()[index].address, Fleet::kTargetPort},
                  .path = "/standin/switch",
                  .method = "POST",
                  .body = json},
                 kTimeoutMs)
             .status == 200;
}

std::map<std::string, int> CallsMeasure::Executions() const {
  std::map<std::string, int> executions;
  std::vector<HttpExchange> exchanges;
  for (const Fleet::Node& node : fleet_.nodes()) {
    exchanges.push_back({.server = {node.address, Fleet::kTargetPort},
                         .path = "/standin/executions"});
  }
  RunHttpBatch(&exchanges, kTimeoutMs);
  for (const HttpExchange& exchange : exchanges) {
    const nlohmann::json counts =
        nlohmann::json::parse(exchange.response, nullptr, false);
    if (!counts.is_object()) {
      continue;
    }
    for (const auto& [id, count] : counts.items()) {
      executions[id] += count.get<int>();
    }
  }
  return executions;
}

void CallsMeasure::PrintFailures(const std::string& figure,
                                 const LoadResult& result) {
  for (const auto& [reason, count] : result.refused) {
    report_.Print(figure + "_refused: " + reason, static_cast<double>(count),
                  "calls");
  }
  report_.Print(figure + "_no_answer", static_cast<double>(result.no_response),
                "calls");
}

void CallsMeasure::CheckOneTime(const std::string& figure,
                                const LoadResult& result) {
  const std::map<std::string, int> executions = Executions();
  const std::string prefix = figure + "-";
  int executed_twice = 0;
  for (const auto& [id, count] : executions) {
    executed_twice += id.starts_with(prefix) && count > 1 ? 1 : 0;
  }
  int refused_but_run = 0;
  for (const std::string& id : result.not_run_ids) {
    refused_but_run += executions.count(id) > 0 ? 1 : 0;
  }
  int done_but_not_run = 0;
  for (const std::string& id : result.done_ids) {
    done_but_not_run += executions.count(id) == 0 ? 1 : 0;
  }
  report_.Print(figure + "_executed_twice", executed_twice, "calls", 0);
  report_.Print(figure + "_refused_but_run", refused_but_run, "calls", 0);
  report_.Print(figure + "_done_but_not_run", done_but_not_run, "calls", 0);
  report_.Print(figure + "_done", static_cast<double>(result.done), "calls");
  report_.Print(figure + "_refused", static_cast<double>(result.RefusedCount()),
                "calls");
  PrintFailures(figure, result);
  CheckResponses(figure, result);
}

void CallsMeasure::MeasureFaults() {
  // Each fault is measured in a separate run. The node `victim` has a target of
  // the one-time service; the first node is an entry node and the owner of the
  // keys that it issues.
  struct Fault {
    const char* name;
    std::function<void()> begin;
    std::function<void()> end;
  };
  const size_t victim = fleet_.nodes().size() - 1;
  const size_t faulty_target = victim - 1;
  Fleet::Node& victim_node = fleet_.nodes()[victim];
  Fleet::Node& entry_node = fleet_.nodes()[0];
  const auto kill = [](Fleet::Node* killed) {
    killed->daemon->Kill();
    killed->daemon.reset();
  };
  const std::vector<Fault> faults = {
      {"kill", [&] { kill(&victim_node); }, [&] { fleet_.StartNode(victim); }},
      {"kill_entry", [&] { kill(&entry_node); }, [&] { fleet_.StartNode(0); }},
      {"kill_in_outage",
       [&] {
         fleet_.SetStoreFault("outage=hang");
         kill(&victim_node);
         kill(&entry_node);
       },
       [&] {
         fleet_.StartNode(victim);
         fleet_.StartNode(0);
         SleepMs(1000);
         fleet_.SetStoreFault("outage=off");
       }},
      {"pause_entry", [&] { entry_node.daemon->Signal(SIGSTOP); },
       [&] { entry_node.daemon->Signal(SIGCONT); }},
      {"pause", [&] { victim_node.daemon->Signal(SIGSTOP); },
       [&] { victim_node.daemon->Signal(SIGCONT); }},
      {"hang", [&] { SwitchTarget(faulty_target, "{\"hang\":true}"); },
       [&] { SwitchTarget(faulty_target, "{\"hang\":false}"); }},
      {"drain", [&] { SwitchTarget(faulty_target, "{\"drain\":true}"); },
       [&] { SwitchTarget(faulty_target, "{\"drain\":false}"); }},
      {"truncate", [&] { SwitchTarget(faulty_target, "{\"truncate\":true}"); },
       [&] { SwitchTarget(faulty_target, "{\"truncate\":false}"); }},
      {"close", [&] { SwitchTarget(faulty_target, "{\"close\":true}"); },
       [&] { SwitchTarget(faulty_target, "{\"close\":false}"); }},
      {"store_outage", [&] { fleet_.SetStoreFault("outage=hang"); },
       [&] { fleet_.SetStoreFault("outage=off"); }},
  };
  for (const Fault& fault : faults) {
    for (const bool one_time : {true, false}) {
      const std::string run = fmt::format("{}_{}", fault.name,
                                          one_time ? "one_time" : "idempotent");
      LoadPlan plan =
          MeshPlan(one_time ? kOneTimeService : kIdempotentService, run);
      plan.entries.resize(plan.entries.size() / 2);
      plan.calls_per_second = 400;
      plan.seconds = 7;
      plan.fetch_one_time_keys = one_time;
      plan.resend_to_next_entry = true;
      LoadGenerator load(plan);
      LoadResult result;
      std::thread loading([&] { result = load.Run(); });
      SleepMs(1000);
      fault.begin();
      SleepMs(kFaultDurationMs);
      fault.end();
      loading.join();
      if (one_time) {
        CheckOneTime(run, result);
      } else {
        report_.Print(run + "_not_done",
                      static_cast<double>(result.sent - result.done), "calls");
        PrintFailures(run, result);
        CheckResponses(run, result);
      }
      SleepMs(1500);
    }
  }
}

void CallsMeasure::MeasureDrain() {
  const size_t draining = 0;
  LoadPlan plan = MeshPlan(kIdempotentService, "drain");
  plan.calls_per_second = 600;
  plan.seconds = 8;
  LoadGenerator load(plan);
  double last_new_call_s = 0;
  std::thread monitor([&] {
    SleepMs(2000);
    const auto read_total = [&] {
      const HttpExchange exchange = RunHttp(
          {.server = {fleet_.nodes()[draining].address, Fleet::kTargetPort},
           .path = "/standin/counts"},
          kTimeoutMs);
      return nlohmann::json::parse(exchange.response, nullptr, false)
          .value("total", uint64_t{0});
    };
    const SteadyClock::time_point start = SteadyClock::now();
    SwitchTarget(draining, "{\"drain\":true}");
    uint64_t previous_total = read_total();
    while (SteadyClock::now() - start < std::chrono::seconds(5)) {
      const uint64_t current_total = read_total();
      if (current_total != previous_total) {
        const std::chrono::duration<double> elapsed =
            SteadyClock::now() - start;
        last_new_call_s = elapsed.count();
      }
      previous_total = current_total;
      SleepMs(10);
    }
  });
  const LoadResult result = load.Run();
  monitor.join();
  SwitchTarget(draining, "{\"drain\":false}");
  report_.Print("drain_last_new_call", last_new_call_s, "s",
                kDrainTargetSeconds);
  report_.Print("drain_failed_calls",
                static_cast<double>(result.sent - result.done), "calls", 0);
  CheckResponses("drain", result);
  SleepMs(2000);
}

void CallsMeasure::MeasureRollingRestart() {
  const size_t nodes = fleet_.nodes().size();
  LoadPlan plan = MeshPlan(kIdempotentService, "rolling");
  plan.calls_per_second = 300;
  plan.seconds = 300;
  plan.resend_to_next_entry = true;
  LoadGenerator load(plan);
  LoadPlan one_time = MeshPlan(kOneTimeService, "rolling_one_time");
  one_time.calls_per_second = 100;
  one_time.seconds = plan.seconds;
  one_time.resend_to_next_entry = true;
  one_time.fetch_one_time_keys = true;
  LoadGenerator one_time_load(one_time);
  LoadResult one_time_result;
  std::thread one_time_thread([&] { one_time_result = one_time_load.Run(); });
  int unclean_exits = 0;
  LoadResult result;
  std::thread load_thread([&] { result = load.Run(); });
  SleepMs(1000);
  const uint64_t version = writer_.EditOneCell().version;
  for (size_t i = 0; i < nodes; ++i) {
    Fleet::Node& node = fleet_.nodes()[i];
    node.daemon->Signal(SIGTERM);
    const std::optional<int> code = node.daemon->WaitExit(kTimeoutMs * 2);
    unclean_exits += code == 0 ? 0 : 1;
    node.daemon.reset();
    fleet_.StartNode(i);
    fleet_.WaitUntilInForce(version, kReadyTimeoutMs);
    // The target sends its announcement to the new daemon within a second.
    SleepMs(1500);
  }
  load.StopSending();
  one_time_load.StopSending();
  load_thread.join();
  one_time_thread.join();
  report_.Print("rolling_restart_calls", static_cast<double>(result.sent),
                "calls");
  report_.Print("rolling_restart_failed_calls",
                static_cast<double>(result.sent - result.done), "calls", 0);
  report_.Print("rolling_restart_second_entries",
                static_cast<double>(result.resent_calls), "calls");
  PrintFailures("rolling_restart", result);
  report_.Print("rolling_restart_one_time_calls",
                static_cast<double>(one_time_result.sent), "calls");
  report_.Print(
      "rolling_restart_one_time_failed_calls",
      static_cast<double>(one_time_result.sent - one_time_result.done), "calls",
      0);
  CheckOneTime("rolling_one_time", one_time_result);
  report_.Print("rolling_restart_unclean_exits", unclean_exits, "nodes", 0);
  CheckResponses("rolling_restart", result);
}

}  // namespace dragonflytack
