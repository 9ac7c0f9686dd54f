#include "soak_driver/soak_run.h"

#include <unistd.h>

#include <algorithm>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "soak_driver/call_judge.h"
#include "soak_driver/version_log.h"
#include "soak_driver/version_watch.h"
#include "support/http_batch.h"
#include "support/timing.h"

namespace dragonflytack {

namespace {

using SteadyClock = std::chrono::steady_clock;

constexpr int kRegions = 2;
constexpr double kPollSeconds = 0.005;
// The sum of what design.md states for the slowest recovery: a silent link is
// closed after 3 s, a correlated suspicion lasts 12 s, an ejection 5 s.
constexpr double kRecoverySeconds = 3 + 12 + 5;
// Calls count as succeeding again when all of this time succeeded.
constexpr double kSuccessWindowSeconds = 1.5;
// Invariant I9 of design.md.
constexpr double kConvergenceSeconds = 6;
// A restarted daemon waits for up to the restart time, then for its drain.
constexpr double kRestartSeconds = 15;
// From the order of a roll-out to its deadline.
constexpr double kRolloutSeconds = 8;
constexpr int kAdminTimeoutMs = 2000;
constexpr std::chrono::milliseconds kSamplePeriod{250};
// Within the time of a limit. All limits have at least this much room on a
// machine that is free: the smallest, that of the end of a stop, has 0.5 s.
constexpr double kStarvedSeconds = 0.5;
// A paused target does not respond; the switch then applies when it resumes.
constexpr int kSwitchTimeoutMs = 50;
constexpr char kSwitchesOff[] =
    R"({"hang":false,"close":false,"truncate":false,"error_rate":0,)"
    R"("delay_ms":0,"drain":false,"slow_start":false})";
constexpr char kStoreFaultsOff[] = "outage=off&delay_ms=0&lose_answers=0";

}  // namespace

SoakRun::SoakRun(const SoakOptions& options)
    : options_(options),
      log_(options.work_dir + "/soak.log"),
      drawn_(options),
      schedule_(drawn_.Draw()),
      epoch_(SteadyClock::now()),
      fleet_(MakeFleetOptions()),
      edits_(options.build_dir + "/dragonflytack",
             fleet_.store().ToString(),
             options.work_dir + "/edits.log",
             &log_),
      // Callers must not notice planned stops, but do notice a bad release.
      rollout_(&fleet_,
               !drawn_.stops_only() && options.seed % 2 == 1,
               options.work_dir + "/rollout.log",
               &log_),
      relay_(RelayPaths()),
      callers_(Entries(),
               options.callers_per_node,
               options.seed,
               options.issued_keys_only,
               options.accounts),
      daemons_(&fleet_, &log_) {
  log_.Write(fmt::format("seed {} nodes {} seconds {}{}", options.seed,
                         options.nodes, options.seconds,
                         drawn_.stops_only() ? " planned stops only" : ""));
  for (const SoakEvent& event : schedule_) {
    log_.Write(fmt::format("planned {:.3f} {}", event.at, event.ToString()));
  }
}

FleetOptions SoakRun::MakeFleetOptions() const {
  FleetOptions fleet;
  // As on the users' platform.
  constexpr int kMaxPipelined = 8;
  fleet.max_pipelined = kMaxPipelined;
  fleet.build_dir = options_.build_dir;
  fleet.work_dir = options_.work_dir;
  fleet.nodes = options_.nodes;
  fleet.network = options_.network;
  fleet.regions = kRegions;
  fleet.targets = true;
  fleet.services = 2;
  fleet.rollouts = options_.rollouts;
  // Long enough for calls in flight at every fault.
  fleet.service_ms = 30;
  fleet.drain_timeout_ms = DaemonGroup::kDrainTimeoutMs;
  if (options_.connection_faults) {
    fleet.relay_network = options_.network + 1;
  }
  return fleet;
}

std::vector<std::string> SoakRun::Addresses() const {
  std::vector<std::string> addresses;
  for (const Fleet::Node& node : fleet_.nodes()) {
    addresses.push_back(node.address);
  }
  return addresses;
}

std::vector<HostPort> SoakRun::Entries() const {
  std::vector<HostPort> entries;
  for (size_t i = 0; i < fleet_.nodes().size(); ++i) {
    entries.push_back(fleet_.EntryOf(i));
  }
  return entries;
}

std::vector<FaultRelay::Path> SoakRun::RelayPaths() const {
  std::vector<FaultRelay::Path> paths;
  if (options_.connection_faults) {
    for (size_t i = 0; i < fleet_.nodes().size(); ++i) {
      const Fleet::Node& node = fleet_.nodes()[i];
      const int index = static_cast<int>(i);
      paths.push_back({fleet_.AddressFor(node, Fleet::kStorePort),
                       fleet_.store(), RelayRoute::kStore, index});
      paths.push_back({fleet_.AddressFor(node, Fleet::kTargetPort),
                       {node.address, Fleet::kTargetPort},
                       RelayRoute::kTarget,
                       index});
    }
  }
  return paths;
}

bool SoakRun::Run() {
  const SoakTime start = SteadyClock::now();
  if (!StartProcesses()) {
    log_.ReportFailure(
        {.text = "the fleet did not start", .limited_since = start});
    return false;
  }
  const VersionWatch versions(Addresses(), fleet_.admin_headers(), &log_);
  callers_.Start();
  if (!WaitForSuccess(kRecoverySeconds)) {
    log_.ReportFailure({.text = "calls do not succeed after the start",
                        .limited_since = start});
    return false;
  }
  InjectFaults();
  EndFaults();
  CheckLastEdit();
  if (options_.rollouts) {
    CheckRollout();
  }
  CheckRecovery();
  CheckCalls();
  CheckCommonStop();
  for (int node = 0; node < options_.nodes; ++node) {
    CheckVersionsInLog(options_.work_dir, node, &log_);
  }
  return log_.failures().empty();
}

bool SoakRun::StartProcesses() {
  return fleet_.StartStore() && edits_.AddRows(options_.accounts) &&
         relay_.Start() && daemons_.StartAll() &&
         fleet_
             .WaitForMemberCount(fleet_.nodes().size(),
                                 static_cast<int>(kRestartSeconds * 1000))
             .has_value();
}

void SoakRun::InjectFaults() {
  epoch_ = SteadyClock::now();
  log_.SetEpoch(epoch_);
  if (options_.accounts) {
    At(options_.seconds / 4, [this] { edits_.StartRevocation(); });
  }
  if (options_.rollouts) {
    At(options_.seconds / 4, [this] { rollout_.Start(); });
  }
  for (const SoakEvent& event : schedule_) {
    PollUntil(event.at - SecondsSince(epoch_), [] { return false; });
    Begin(event);
  }
}

void SoakRun::Begin(const SoakEvent& event) {
  const int id = faults_++;
  bool done = true;
  switch (event.kind) {
    case SoakEventKind::kTerminate:
    case SoakEventKind::kTerminateAgain:
      done = daemons_.Terminate(event.node,
                                event.kind == SoakEventKind::kTerminateAgain,
                                event.duration);
      break;
    case SoakEventKind::kKill:
      done = daemons_.Kill(event.node, event.duration);
      break;
    case SoakEventKind::kPause:
      daemons_.Pause(event.node, event.duration);
      break;
    case SoakEventKind::kPauseTarget:
      daemons_.PauseTarget(event.node, event.duration);
      break;
    case SoakEventKind::kTargetSwitch:
      SwitchTarget(event.node, event.text, kSwitchTimeoutMs);
      At(event.duration, [this, node = event.node] {
        SwitchTarget(node, kSwitchesOff, kSwitchTimeoutMs);
      });
      break;
    case SoakEventKind::kStoreFault:
      fleet_.SetStoreFault(event.text);
      At(event.duration, [this] { fleet_.SetStoreFault(kStoreFaultsOff); });
      break;
    case SoakEventKind::kStoreReturn:
      done = fleet_.ReturnStore(event.text);
      edits_.OnStoreReturn();
      break;
    case SoakEventKind::kRelayFault:
      relay_.Begin(id, event.relay_fault);
      At(event.duration, [this, id] { relay_.End(id); });
      break;
    case SoakEventKind::kEdit:
      edits_.Start(event.node);
      break;
  }
  log_.Write((done ? "" : "skipped ") + event.ToString());
}

void SoakRun::EndFaults() {
  actions_.clear();
  for (int id = 0; id < faults_; ++id) {
    relay_.End(id);
  }
  fleet_.SetStoreFault(kStoreFaultsOff);
  daemons_.ResumeAll();
  log_.Write("all faults end");
  const SoakTime start = SteadyClock::now();
  if (!PollUntil(kRestartSeconds,
                 [this] { return daemons_.AreAllRunning(); })) {
    log_.ReportFailure({.text = "daemons that were stopped are not back",
                        .limited_since = start});
  }
  for (int node = 0; node < options_.nodes; ++node) {
    SwitchTarget(node, kSwitchesOff, kAdminTimeoutMs);
  }
  log_.Write("all daemons run");
}

void SoakRun::CheckLastEdit() {
  SoakTime start = SteadyClock::now();
  if (!edits_.EditAll() || (options_.accounts && !edits_.revoked())) {
    log_.ReportFailure({.text = "the store takes no edit after the faults",
                        .limited_since = start});
    return;
  }
  start = SteadyClock::now();
  std::string missing;
  const bool everywhere = PollUntil(kConvergenceSeconds, [this, &missing] {
    std::vector<HttpExchange> exchanges;
    for (const std::string& address : Addresses()) {
      exchanges.push_back({.server = {address, Fleet::kAdminPort},
                           .path = "/table",
                           .headers = fleet_.admin_headers()});
    }
    RunHttpBatch(&exchanges, kAdminTimeoutMs);
    missing.clear();
    for (size_t i = 0; i < exchanges.size(); ++i) {
      if (!edits_.AreIn(exchanges[i].response)) {
        missing += fmt::format(" {}", i);
      }
    }
    return missing.empty();
  });
  edit_seconds_ = SecondsSince(start);
  if (!everywhere) {
    log_.ReportFailure(
        {.text =
             fmt::format("the last edit is not in force after {} s at nodes{}",
                         kConvergenceSeconds, missing),
         .limited_since = start});
  }
}

void SoakRun::CheckRollout() {
  const SoakTime start = SteadyClock::now();
  if (!PollUntil(kRolloutSeconds + kRecoverySeconds,
                 [this] { return rollout_.HasEnded(); })) {
    log_.ReportFailure(
        {.text = "the roll-out does not end", .limited_since = start});
  }
  if (drawn_.stops_only() && rollout_.outcome() == "reverted") {
    log_.ReportFailure({.text = "a good release was rolled back"});
  }
  if (rollout_.is_bad() && rollout_.outcome() == "completed") {
    log_.ReportFailure({.text = "a bad release was completed"});
  }
  rollout_.Finish();
}

void SoakRun::CheckRecovery() {
  const SoakTime start = SteadyClock::now();
  if (!WaitForSuccess(kRecoverySeconds)) {
    log_.ReportFailure(
        {.text = fmt::format("calls still fail {} s after the faults",
                             kRecoverySeconds),
         .limited_since = start});
  }
  recovery_seconds_ = SecondsSince(start);
  callers_.Finish();
  log_.Write("callers finished");
}

void SoakRun::CheckCalls() {
  const SoakTime start = SteadyClock::now();
  const std::optional<std::map<std::string, int>> executions = Executions();
  if (!executions) {
    log_.ReportFailure({.text = "a target does not report its executions",
                        .limited_since = start});
    return;
  }
  CallJudge(
      callers_.records(), daemons_.lives(), *executions, epoch_,
      drawn_.stops_only(), options_.accounts, edits_.revoked(),
      [this](SoakFailure failure) { log_.ReportFailure(std::move(failure)); })
      .Judge();
}

void SoakRun::CheckCommonStop() {
  daemons_.TerminateAll();
  constexpr double kMarginSeconds = 2;
  PollUntil(DaemonGroup::kDrainTimeoutMs / 1000.0 + kMarginSeconds,
            [this] { return daemons_.AreAllDown(); });
}

bool SoakRun::PollUntil(double seconds,
                        const std::function<bool()>& condition) {
  const SoakTime start = SteadyClock::now();
  while (true) {
    Poll();
    if (condition()) {
      return true;
    }
    if (SecondsSince(start) >= seconds) {
      return false;
    }
    SleepSeconds(std::clamp(seconds - SecondsSince(start), 0.0, kPollSeconds));
  }
}

bool SoakRun::WaitForSuccess(double seconds) {
  const SoakTime start = SteadyClock::now();
  // A call that is sent within the time may respond after it.
  constexpr double kResponseSeconds = CallerPool::kResponseTimeoutMs / 1000.0;
  SoakTime window_start = start;
  PollUntil(seconds + kSuccessWindowSeconds + kResponseSeconds, [&] {
    window_start = std::max(start, callers_.last_failure_sent());
    const std::chrono::duration<double> window =
        callers_.oldest_unanswered() - window_start;
    return window.count() >= kSuccessWindowSeconds ||
           std::chrono::duration<double>(window_start - start).count() >
               seconds;
  });
  const std::chrono::duration<double> until = window_start - start;
  const std::chrono::duration<double> window =
      callers_.oldest_unanswered() - window_start;
  return until.count() <= seconds && window.count() >= kSuccessWindowSeconds;
}

void SoakRun::Poll() {
  while (!actions_.empty() && actions_.begin()->first <= SteadyClock::now()) {
    const std::function<void()> action = std::move(actions_.begin()->second);
    actions_.erase(actions_.begin());
    action();
  }
  daemons_.Poll();
  edits_.Poll();
  rollout_.Poll();
  if (SteadyClock::now() >= next_sample_) {
    SampleWaits();
  }
}

void SoakRun::SampleWaits() {
  std::vector<std::pair<std::string, pid_t>> processes = daemons_.Processes();
  processes.emplace_back("the soak driver", getpid());
  waits_.Sample(processes);
  next_sample_ = SteadyClock::now() + kSamplePeriod;
}

std::vector<SoakFailure> SoakRun::failures() const {
  std::vector<SoakFailure> failures = log_.failures();
  for (SoakFailure& failure : failures) {
    if (!failure.limited_since) {
      continue;
    }
    const StarvationWatch::Wait wait =
        waits_.LongestWait(*failure.limited_since, failure.at);
    if (wait.seconds >= kStarvedSeconds) {
      failure.starvation = fmt::format("{} {:.1f} s", wait.cause, wait.seconds);
    }
  }
  return failures;
}

void SoakRun::At(double seconds, std::function<void()> action) {
  actions_.emplace(
      SteadyClock::now() + std::chrono::duration_cast<SteadyClock::duration>(
                               std::chrono::duration<double>(seconds)),
      std::move(action));
}

void SoakRun::SwitchTarget(int node, const std::string& json, int timeout_ms) {
  RunHttp({.server = {fleet_.nodes()[node].address, Fleet::kTargetPort},
           .path = "/standin/switch",
           .method = "POST",
           .body = json},
          timeout_ms);
}

std::optional<std::map<std::string, int>> SoakRun::Executions() const {
  std::vector<HttpExchange> exchanges;
  for (const Fleet::Node& node : fleet_.nodes()) {
    exchanges.push_back({.server = {node.address, Fleet::kTargetPort},
                         .path = "/standin/executions"});
  }
  RunHttpBatch(&exchanges, kAdminTimeoutMs);
  std::map<std::string, int> executions;
  for (const HttpExchange& exchange : exchanges) {
    const nlohmann::json counts =
        nlohmann::json::parse(exchange.response, nullptr, false);
    if (!counts.is_object()) {
      return std::nullopt;
    }
    for (const auto& [id, count] : counts.items()) {
      executions[id] += count.get<int>();
    }
  }
  return executions;
}

std::string SoakRun::Summary() const {
  const std::vector<CallRecord>& records = callers_.records();
  const auto succeeded =
      std::count_if(records.begin(), records.end(),
                    [](const CallRecord& call) { return call.Succeeded(); });
  const auto unanswered =
      std::count_if(records.begin(), records.end(), [](const CallRecord& call) {
        return call.status == 0 && !call.is_behind_close;
      });
  return fmt::format(
      "{} calls, {} succeeded, {} without a response, {} stops, {} kills, "
      "{} edits, calls succeed after {:.1f} s, last edit in force after "
      "{:.1f} s",
      records.size(), succeeded, unanswered, daemons_.terminated(),
      daemons_.killed(), edits_.accepted(), recovery_seconds_, edit_seconds_);
}

}  // namespace dragonflytack
