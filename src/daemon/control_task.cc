#include "daemon/control_task.h"

#include <csignal>
#include <string>
#include <utility>

#include <event2/event.h>
#include <malloc.h>

#include "dragonflytack/base/hash.h"
#include "dragonflytack/base/logger.h"
#include "dragonflytack/routing/route_snapshot.h"
#include "net/record_json.h"

namespace dragonflytack {

namespace {

// At the drain timeout the call task cuts off its calls and hands over its
// one-time records. This is the time it has for that, so that their successor
// can still be announced; the exit code is 1 all the same.
constexpr Milliseconds kCutOffGrace{500};

// The C library returns freed memory to the system only from the end of the
// heap. A snapshot and each rebuild of the routes free blocks in its middle:
// more than 3 MB at 5,300 nodes.
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
  // libevent writes without MSG_NOSIGNAL: a peer that closes while it is
  // written to must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  std::unique_ptr<EventLoop> loop = EventLoop::Make(clock);
  if (loop == nullptr) {
    *reason = {FailureCode::kInternal, "event loop", "libevent made no loop"};
    return nullptr;
  }
  std::unique_ptr<ControlTask> task(
      new ControlTask(settings, environment, clock, logger, std::move(loop)));
  if (!task->MakeParts(reason)) {
    return nullptr;
  }
  task->CatchSignals();
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
      mailbox_(loop_.get(), [](const Message& message) { message(); }) {}

ControlTask::~ControlTask() {
  for (event* const signal_event : signal_events_) {
    event_free(signal_event);
  }
}

bool ControlTask::MakeParts(Failure* reason) {
  LinkOptions link_options;
  link_options.shared_key = settings_.shared_key;
  link_options.open_network = settings_.open_network;
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
               "the store client cannot use the address"};
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
  target_ = std::make_unique<TargetLifeCycle>(
      &loop_->timers(), Milliseconds(settings_.target_heartbeat_timeout_ms),
      [this](const LocalTarget& target) { OnTarget(target); });
  report_ = std::make_unique<FleetReport>(
      FleetReport::Parts{core, links_.get(), store_.get(), &metrics_, &tracer_,
                         clock_},
      [this](const LocalTarget& target) { return TakeAnnouncement(target); });
  exporter_ =
      OtlpExporter::Make(settings_, loop_.get(), &tracer_, &metrics_, logger_);
  admin_api_ = std::make_unique<AdminApi>(settings_.shared_key,
                                          settings_.address, report_.get());
  admin_server_ =
      AdminServer::Make(loop_.get(), {settings_.address, settings_.admin_port},
                        admin_api_.get(), reason);
  return admin_server_ != nullptr && MakeTargetPorts(reason);
}

bool ControlTask::MakeTargetPorts(Failure* reason) {
  if (settings_.ready_port != 0) {
    readiness_server_ = AdminServer::Make(
        loop_.get(), {settings_.address, settings_.ready_port}, &readiness_,
        reason);
    if (readiness_server_ == nullptr) {
      return false;
    }
  }
  if (settings_.target_port == 0 || !environment_.make_announcements) {
    return true;
  }
  announcements_ = environment_.make_announcements(
      settings_,
      [this](const LocalTarget& target) { return TakeAnnouncement(target); },
      logger_);
  announcement_server_ =
      AdminServer::Make(loop_.get(), {settings_.address, settings_.target_port},
                        announcements_.get(), reason);
  return announcement_server_ != nullptr;
}

bool ControlTask::MakeCallTask(Failure* reason) {
  CallTask::Events events;
  events.on_stopped = [this](const NodeId& successor) {
    mailbox_.Post([this, successor] { OnCallsStopped(successor); });
  };
  events.on_takeover = [this](const NodeId& owner, uint64_t incarnation) {
    mailbox_.Post([this, owner, incarnation] {
      core_->AnnounceTakeover(owner, incarnation);
    });
  };
  events.on_ejected = [this](const std::string& service, const NodeId& target,
                             Milliseconds period) {
    mailbox_.Post([this, service, target, period] {
      report_->ejected().Note(service, target, period);
    });
  };
  events.on_target_lost = [this] {
    mailbox_.Post([this] { target_->OnUnreachable(); });
  };
  calls_ = CallTask::Make(settings_, environment_.header_codec,
                          core_->self().incarnation, clock_, logger_, &metrics_,
                          &tracer_, std::move(events), reason);
  return calls_ != nullptr;
}

void ControlTask::CatchSignals() {
  for (const int signal : {SIGTERM, SIGINT, SIGHUP}) {
    event* const signal_event =
        evsignal_new(loop_->base(), signal, &ControlTask::OnSignal, this);
    evsignal_add(signal_event, nullptr);
    signal_events_.push_back(signal_event);
  }
}

int ControlTask::Run() {
  logger_->Info("started", {{"incarnation", core_->self().incarnation},
                            {"address", settings_.address},
                            {"data_centre", settings_.data_centre},
                            {"region", settings_.region}});
  core_->Start();
  loop_->timers().SubscribeEvery(kTrimPeriod, [] { malloc_trim(0); });
  loop_->Run();
  logger_->Info("ended", {{"exit_code", int64_t{exit_code_}}});
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
  report_->NoteRoutes(routes);
  // Without any version of the table every call would be refused.
  readiness_.set_ready(!stopping_ && routes->version != 0);
  if (calls_ != nullptr) {
    calls_->PostRoutes(std::move(routes));
  } else if (!stopping_) {
    StartCalls(std::move(routes));
  }
}

void ControlTask::StartCalls(std::shared_ptr<const RouteSnapshot> routes) {
  Failure reason;
  if (!MakeCallTask(&reason)) {
    logger_->Error("call_ports_failed", {{"reason", reason.ToString()}});
    End(1);
    return;
  }
  calls_->PostRoutes(std::move(routes));
  // The core answers the target's state with a newer snapshot at once, so this
  // comes last.
  if (last_target_) {
    PassOnTarget();
  }
}

void ControlTask::PassOnTarget() {
  calls_->PostTarget(*last_target_);
  core_->SetTarget(last_target_->service, last_target_->state,
                   last_target_->slots);
}

void ControlTask::OnTarget(const LocalTarget& target) {
  logger_->Info(
      "target",
      {{"service", target.service},
       {"state", std::string(TargetStateName(target.state))},
       {"port", int64_t{target.port}},
       {"instance", target.instance},
       {"cause", announcing_ ? "announcement" : "silent or unreachable"}});
  if (stopping_) {
    // The record stays `draining` until the end.
    return;
  }
  last_target_ = target;
  // Peers must not route calls to a mesh port that is not open yet.
  if (calls_ != nullptr) {
    PassOnTarget();
  }
}

Failure ControlTask::TakeAnnouncement(const LocalTarget& target) {
  if (stopping_ && (target.state == TargetState::kDraining ||
                    target.state == TargetState::kLeft)) {
    // The target gets no more calls already.
    return {};
  }
  if (stopping_) {
    return {FailureCode::kDraining, settings_.node_id, "the node is stopping"};
  }
  announcing_ = true;
  const bool taken = target_->Announce(target);
  announcing_ = false;
  if (!taken) {
    logger_->Info("announcement_ignored",
                  {{"instance", target.instance},
                   {"started_ms", target.started_ms},
                   {"sequence", target.sequence},
                   {"known_instance", target_->target().instance},
                   {"known_started_ms", target_->target().started_ms},
                   {"known_sequence", target_->target().sequence},
                   {"cause", "older than what is known"}});
  }
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
                    {"outcome", "the settings in force stay"}});
    return;
  }
  logger_->set_minimum(changed->log_level);
  settings_.log_level = changed->log_level;
  logger_->Info("settings_reloaded",
                {{"restart_needed", *changed != settings_}});
}

void ControlTask::BeginStop(int signal) {
  logger_->Info("stop_requested", {{"signal", int64_t{signal}}});
  if (std::exchange(stopping_, true)) {
    // Two plans may stop the same node, each with a SIGTERM. Only somebody at a
    // terminal asks for an end at once; others send SIGKILL.
    if (signal == SIGINT) {
      End(1);
    }
    return;
  }
  stop_deadline_ = clock_->Now() + Milliseconds(settings_.drain_timeout_ms);
  readiness_.set_ready(false);
  core_->BeginDrain();
  if (calls_ == nullptr) {
    OnCallsStopped({});
    return;
  }
  calls_->PostStop();
  loop_->timers().SubscribeOnce(
      Milliseconds(settings_.drain_timeout_ms) + kCutOffGrace, [this] {
        logger_->Error("drain_timeout",
                       {{"after_ms", int64_t{settings_.drain_timeout_ms}}});
        End(1);
      });
}

void ControlTask::OnNoMoreCallers() {
  if (stopping_ && calls_ != nullptr) {
    calls_->PostNoMoreCallers();
  }
}

void ControlTask::OnCallsStopped(const NodeId& successor) {
  const int exit_code = clock_->Now() < stop_deadline_ ? 0 : 1;
  core_->AnnounceSuccessor(successor);
  links_->Shutdown([this, exit_code] { End(exit_code); });
}

void ControlTask::End(int exit_code) {
  exit_code_ = exit_code;
  loop_->Stop();
}

}  // namespace dragonflytack
