#include "daemon/control_task.h"

#include <csignal>
#include <string>
#include <utility>

#include <event2/event.h>
#include <malloc.h>

#include "base/connection_limits.h"
#include "calls/guarded_port.h"
#include "daemon/loop_signals.h"
#include "dragonflytack/base/hash.h"
#include "dragonflytack/base/logger.h"
#include "dragonflytack/routing/route_snapshot.h"
#include "net/record_json.h"

namespace dragonflytack {

namespace {

// At the drain timeout the call task cuts off its calls and hands over its
// one-time records. It gets this long to finish, so that the successor can
// still be announced. With the time to end the calls, the process ends within
// half a second.
constexpr Milliseconds kHandoverGracePeriod{400};

// The C library returns freed memory to the system only from the end of the
// heap. A snapshot and each rebuild of the routes free more than 3 MB in the
// middle of it at 5,300 nodes, so the heap is trimmed periodically.
constexpr Milliseconds kTrimPeriod{10'000};

// Returns a seed that differs between nodes and between starts of a node.
uint64_t MakeSeed(const Settings& settings, const Clock& clock) {
  return Hash64(settings.node_id, static_cast<uint64_t>(clock.WallMillis()));
}

}  // namespace

std::unique_ptr<ControlTask> ControlTask::Make(const Settings& settings,
                                               const Environment& environment,
                                               const Clock* clock,
                                               Logger* logger,
                                               Failure* reason) {
  // libevent writes without MSG_NOSIGNAL, so a write to a connection that the
  // peer has closed would terminate the process.
  std::signal(SIGPIPE, SIG_IGN);
  std::unique_ptr<EventLoop> loop = EventLoop::Make(clock);
  if (loop == nullptr) {
    *reason = {FailureCode::kInternal, "event loop",
               "libevent failed to create an event loop"};
    return nullptr;
  }
  std::unique_ptr<ControlTask> task(
      new ControlTask(settings, environment, clock, logger, std::move(loop)));
  if (!task->MakeComponents(reason)) {
    return nullptr;
  }
  task->RegisterSignalHandlers();
  return task;
}

ControlTask::ControlTask(const Settings& settings,
                         const Environment& environment,
                         const Clock* clock,
                         Logger* logger,
                         std::unique_ptr<EventLoop> loop)
    : settings_(settings),
      environment_(environment),
      clock_(clock),
      logger_(logger),
      loop_(std::move(loop)),
      tracer_(settings.trace_sample, MakeSeed(settings, *clock)),
      mailbox_(loop_.get(), [](const Message& message) { message(); }),
      input_budget_(static_cast<size_t>(settings.control_buffered_mb) << 20),
      input_ledger_(&input_budget_, InputLimits(settings)) {}

ControlTask::~ControlTask() {
  for (event* const signal_event : signal_events_) {
    event_free(signal_event);
  }
}

bool ControlTask::MakeComponents(Failure* reason) {
  LinkOptions link_options;
  link_options.shared_key = settings_.shared_key;
  link_options.open_network = settings_.open_network;
  link_options.max_inbound = ConnectionLimits::FromSettings(settings_).peers;
  links_ = WebSocketLinkLayer::Make(loop_.get(),
                                    {settings_.address, settings_.peer_port},
                                    link_options, logger_, reason);
  if (links_ == nullptr) {
    return false;
  }
  std::unique_ptr<StoreClient> store =
      environment_.make_store(settings_, loop_.get(), logger_);
  if (store == nullptr) {
    *reason = {FailureCode::kInvalidSetting, settings_.store.ToString(),
               "the store client does not support the address"};
    return false;
  }
  store_ = std::make_unique<ObservedStore>(std::move(store), clock_, logger_,
                                           &metrics_);
  core_ = std::make_unique<DistributionCore>(
      settings_, &loop_->timers(), store_.get(), links_.get(), logger_,
      MakeSeed(settings_, *clock_));
  core_->set_on_routes([this](std::shared_ptr<const RouteSnapshot> routes) {
    OnRoutes(std::move(routes));
  });
  DistributionCore* const core = core_.get();
  links_->set_events(
      {[core]() -> const NodeRecord& { return core->self(); },
       [core](LinkId link, const NodeRecord& peer, bool outgoing) {
         core->OnLinkUp(link, peer, outgoing);
       },
       [core](LinkId link, std::string_view frame) {
         core->OnFrame(link, frame);
       },
       [core](LinkId link, const Failure& failure) {
         core->OnLinkDown(link, failure);
       }});
  target_life_cycle_ = std::make_unique<TargetLifeCycle>(
      &loop_->timers(), Milliseconds(settings_.target_heartbeat_timeout_ms),
      [this](const LocalTarget& target) { OnTargetChanged(target); });
  target_life_cycle_->set_knows_departures(false);
  core_->set_on_departure([this](const TargetRun& run) {
    target_life_cycle_->RestoreDeparture(run);
  });
  core_->set_on_departure_status([this] { OnDepartureStatus(); });
  announcements_ = std::make_unique<AnnouncementQueue>(
      &loop_->timers(), logger_,
      AnnouncementQueue::Functions{
          [core] { return core->KnowsDepartures(); },
          [this](const LocalTarget& target) {
            return ApplyAnnouncement(target);
          },
          [this] { return target_life_cycle_->departure(); },
          [core](const TargetRun& run) {
            return core->IsDepartureStored(run);
          }});
  fleet_report_ = std::make_unique<FleetReport>(
      FleetReport::Dependencies{core, links_.get(), store_.get(), &metrics_,
                                &tracer_, clock_},
      [this](const LocalTarget& target, AnnouncementReply reply) {
        announcements_->Handle(target, std::move(reply));
      });
  if (settings_.has_rollouts() && environment_.make_rollout_orders) {
    rollout_controller_ = std::make_unique<RolloutController>(
        settings_, loop_.get(), store_.get(), core,
        environment_.make_rollout_orders(settings_, loop_.get(), store_.get()),
        &metrics_, logger_);
    fleet_report_->SetRolloutController(rollout_controller_.get());
  }
  exporter_ =
      OtlpExporter::Make(settings_, loop_.get(), &tracer_, &metrics_, logger_);
  admin_api_ = std::make_unique<AdminApi>(
      settings_.shared_key, settings_.address, fleet_report_.get());
  admin_server_ =
      AdminServer::Make(loop_.get(), {settings_.address, settings_.admin_port},
                        admin_api_.get(), reason, MakeGuard("admin"));
  return admin_server_ != nullptr &&
         MakeReadinessAndAnnouncementServers(reason);
}

bool ControlTask::MakeReadinessAndAnnouncementServers(Failure* reason) {
  if (settings_.ready_port != 0) {
    readiness_server_ = AdminServer::Make(
        loop_.get(), {settings_.address, settings_.ready_port},
        &readiness_handler_, reason, MakeGuard("ready"));
    if (readiness_server_ == nullptr) {
      return false;
    }
  }
  if (settings_.target_port == 0 || !environment_.make_announcement_handler) {
    return true;
  }
  announcement_handler_ = environment_.make_announcement_handler(
      settings_,
      [this](const LocalTarget& target, AnnouncementReply reply) {
        announcements_->Handle(target, std::move(reply));
      },
      logger_);
  announcement_server_ = AdminServer::Make(
      loop_.get(), {settings_.address, settings_.target_port},
      announcement_handler_.get(), reason, MakeGuard("target"));
  return announcement_server_ != nullptr;
}

std::unique_ptr<InputGuard> ControlTask::MakeGuard(const char* port) {
  // evhttp responds to heads over its own limit. A complete request fits into
  // the bytes that are read ahead.
  return MakeInputGuard(
      loop_.get(), &input_ledger_,
      {.max_connections = ConnectionLimits::FromSettings(settings_).control,
       .max_head_bytes = 2 * AdminServer::kMaxHeaderBytes,
       .read_ahead_bytes =
           2 * (AdminServer::kMaxHeaderBytes + AdminServer::kMaxBodyBytes),
       .bounds_requests = true},
      port, logger_, &metrics_);
}

bool ControlTask::MakeCallTask(Failure* reason) {
  CallTask::Events events;
  events.on_stopped = [this](const NodeId& successor,
                             const CallTask::CutOffCalls& cut_off) {
    mailbox_.Post(
        [this, successor, cut_off] { OnCallsStopped(successor, cut_off); });
  };
  events.on_takeover = [this](const NodeId& owner, uint64_t incarnation) {
    mailbox_.Post([this, owner, incarnation] {
      core_->AnnounceTakeover(owner, incarnation);
    });
  };
  events.on_ejected = [this](const std::string& service, const NodeId& target,
                             Milliseconds period) {
    mailbox_.Post([this, service, target, period] {
      fleet_report_->ejected().Add(service, target, period);
    });
  };
  events.on_target_lost = [this] {
    mailbox_.Post([this] { target_life_cycle_->OnUnreachable(); });
  };
  if (settings_.has_rollouts()) {
    events.on_evidence = [this](const ReleaseEvidence& evidence) {
      mailbox_.Post([this, evidence] { fleet_report_->SetEvidence(evidence); });
    };
  }
  call_task_ =
      CallTask::Make(settings_, environment_.make_call_interface(settings_),
                     core_->self().incarnation, clock_, logger_, &metrics_,
                     &tracer_, std::move(events), reason);
  return call_task_ != nullptr;
}

void ControlTask::RegisterSignalHandlers() {
  for (const int signal : kLoopSignals) {
    // libevent restores this disposition when the events are freed. The default
    // one would end the process if a further signal arrives after the stop.
    // SIG_IGN would discard a signal that is pending.
    std::signal(signal, [](int /*signal*/) {});
    event* const signal_event =
        evsignal_new(loop_->base(), signal, &ControlTask::OnSignal, this);
    evsignal_add(signal_event, nullptr);
    signal_events_.push_back(signal_event);
  }
  UnblockLoopSignals();
}

int ControlTask::Run() {
  logger_->Info("started", {{"incarnation", core_->self().incarnation},
                            {"address", settings_.address},
                            {"data_centre", settings_.data_centre},
                            {"region", settings_.region}});
  core_->Start();
  loop_->timers().SubscribeEvery(kTrimPeriod, [] { malloc_trim(0); });
  loop_->Run();
  const CallTask::CutOffCalls cut_off =
      call_task_ == nullptr ? CallTask::CutOffCalls() : call_task_->End();
  call_task_.reset();
  logger_->Info("ended", {{"exit_code", int64_t{exit_code_}},
                          {"outcome", std::string(outcome_)},
                          {"entry_calls", cut_off.entry},
                          {"target_calls", cut_off.target},
                          {"keyed_calls", cut_off.keyed}});
  return exit_code_;
}

void ControlTask::OnSignal(int signal, short /*what*/, void* self) {
  auto* const task = static_cast<ControlTask*>(self);
  if (signal == SIGHUP) {
    task->Reload();
  } else {
    task->BeginStop(signal);
  }
}

void ControlTask::OnRoutes(std::shared_ptr<const RouteSnapshot> routes) {
  fleet_report_->SetRoutes(routes);
  if (rollout_controller_ != nullptr) {
    rollout_controller_->OnRoutes(routes);
  }
  // Without a version of the table every call would be refused.
  readiness_handler_.set_ready(!stopping_ && routes->version != 0);
  if (call_task_ != nullptr) {
    call_task_->PostRoutes(std::move(routes));
  } else if (!stopping_) {
    StartCalls(std::move(routes));
  }
}

void ControlTask::StartCalls(std::shared_ptr<const RouteSnapshot> routes) {
  Failure reason;
  if (!MakeCallTask(&reason)) {
    logger_->Error("call_ports_failed", {{"reason", reason.ToString()}});
    StopLoop(1, "call_ports_failed");
    return;
  }
  call_task_->PostRoutes(std::move(routes));
  // The core responds to the target's state with a newer snapshot immediately,
  // so the target is published last.
  if (last_target_) {
    PublishTarget();
  }
}

void ControlTask::PublishTarget() {
  call_task_->PostTarget(*last_target_);
  core_->SetTarget(last_target_->service, last_target_->state,
                   last_target_->slots, last_target_->release);
}

void ControlTask::OnTargetChanged(const LocalTarget& target) {
  logger_->Info(
      "target",
      {{"service", target.service},
       {"state", std::string(TargetStateName(target.state))},
       {"port", int64_t{target.port}},
       {"instance", target.instance},
       {"cause", handling_announcement_
                     ? "announcement"
                     : "announcements missing or target unreachable"}});
  if (stopping_) {
    // The record of this node stays `draining` until it has left.
    return;
  }
  last_target_ = target;
  // Peers must not route calls to this node before its mesh port is open.
  if (call_task_ != nullptr) {
    PublishTarget();
  }
}

void ControlTask::OnDepartureStatus() {
  target_life_cycle_->set_knows_departures(core_->KnowsDepartures());
  announcements_->Update();
}

Failure ControlTask::ApplyAnnouncement(const LocalTarget& target) {
  const bool is_leaving = target.state == TargetState::kDraining ||
                          target.state == TargetState::kLeft;
  // While links are open, the peers keep a departure for the next process, also
  // if this one ends before the store has it.
  if (stopping_ && (!is_leaving || calls_stopped_)) {
    return {FailureCode::kDraining, settings_.node_id, "the node is stopping"};
  }
  handling_announcement_ = true;
  const bool accepted = target_life_cycle_->HandleAnnouncement(target);
  handling_announcement_ = false;
  if (!accepted) {
    logger_->Info(
        "announcement_ignored",
        {{"instance", target.instance},
         {"started_ms", target.started_ms},
         {"sequence", target.sequence},
         {"known_instance", target_life_cycle_->target().instance},
         {"known_started_ms", target_life_cycle_->target().started_ms},
         {"known_sequence", target_life_cycle_->target().sequence},
         {"knows_departures", core_->KnowsDepartures()},
         {"cause",
          "older than the last accepted announcement, or not confirmed "
          "yet"}});
    return {FailureCode::kConflict, target.instance,
            "the announcement is older than the last accepted one, or its run "
            "is not confirmed yet"};
  }
  // The acknowledgement binds later processes of this node, too.
  core_->SetDeparture(target_life_cycle_->departure());
  return {};
}

void ControlTask::Reload() {
  Failure reason;
  std::optional<Settings> changed;
  if (environment_.reload) {
    changed = environment_.reload(&reason);
  }
  if (!changed) {
    logger_->Error("settings_refused",
                   {{"reason", reason.ToString()},
                    {"outcome", "the current settings stay in force"}});
    return;
  }
  logger_->set_minimum(changed->log_level);
  settings_.log_level = changed->log_level;
  logger_->Info("settings_reloaded",
                {{"restart_needed", *changed != settings_}});
}

void ControlTask::BeginStop(int signal) {
  const CallTask::CallsInProgress in_progress = CallsInProgress();
  logger_->Info("stop_requested", {{"signal", int64_t{signal}},
                                   {"repeated", stopping_},
                                   {"entry_calls", in_progress.entry},
                                   {"target_calls", in_progress.target}});
  if (std::exchange(stopping_, true)) {
    // A node may be part of two planned stops, each of which sends SIGTERM.
    // Only SIGINT, sent from a terminal, requests an immediate end; automation
    // uses SIGKILL for that.
    if (signal == SIGINT) {
      StopLoop(1, "second_signal");
    }
    return;
  }
  readiness_handler_.set_ready(false);
  core_->BeginDrain();
  loop_->timers().SubscribeOnce(
      Milliseconds(settings_.drain_timeout_ms) + kHandoverGracePeriod, [this] {
        if (calls_stopped_) {
          // Only links are still open, whose peers do not close them.
          EndStop();
        } else {
          logger_->Error("drain_timeout",
                         {{"after_ms", int64_t{settings_.drain_timeout_ms}}});
          StopLoop(1, "drain_timeout");
        }
      });
  if (call_task_ == nullptr) {
    OnCallsStopped({}, {});
    return;
  }
  call_task_->PostStop();
}

CallTask::CallsInProgress ControlTask::CallsInProgress() const {
  return call_task_ == nullptr ? CallTask::CallsInProgress()
                               : call_task_->calls_in_progress();
}

void ControlTask::OnNoMoreCallers() {
  if (stopping_ && call_task_ != nullptr) {
    call_task_->PostNoMoreCallers();
  }
}

void ControlTask::OnCallsStopped(const NodeId& successor,
                                 const CallTask::CutOffCalls& cut_off) {
  calls_stopped_ = true;
  // A stop that ended late, but lost nothing, is no reason for an operator to
  // act.
  calls_drained_ = cut_off.none();
  core_->AnnounceSuccessor(successor);
  links_->Shutdown([this] { EndStop(); });
}

void ControlTask::EndStop() {
  StopLoop(calls_drained_ ? 0 : 1,
           calls_drained_ ? "drained" : "drain_timeout");
}

void ControlTask::StopLoop(int exit_code, std::string_view outcome) {
  if (outcome_.empty()) {
    exit_code_ = exit_code;
    outcome_ = outcome;
  }
  loop_->Stop();
}

}  // namespace dragonflytack
