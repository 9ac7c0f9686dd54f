#include "dragonflytack/calls/call_task.h"

#include <algorithm>
#include <csignal>
#include <functional>
#include <optional>
#include <thread>
#include <utility>
#include <variant>

#include <event2/http.h>

#include "base/buffer_budget.h"
#include "base/connection_limits.h"
#include "base/input_ledger.h"
#include "calls/allowance_exchange.h"
#include "calls/call_context.h"
#include "calls/call_entry.h"
#include "calls/call_metrics.h"
#include "calls/connection_pool.h"
#include "calls/deferred_deleter.h"
#include "calls/guarded_port.h"
#include "calls/http_headers.h"
#include "calls/http_server.h"
#include "calls/one_time.h"
#include "calls/response_writes.h"
#include "calls/retry_share.h"
#include "calls/target_proxy.h"
#include "dragonflytack/base/event_loop.h"
#include "dragonflytack/base/logger.h"
#include "dragonflytack/base/mailbox.h"
#include "dragonflytack/base/settings.h"
#include "dragonflytack/base/signal_stack.h"
#include "dragonflytack/routing/route_snapshot.h"
#include "routing/router.h"

namespace dragonflytack {

namespace {

// A stopping node still serves calls on its call port for this time and closes
// each connection after its next response. Without it, callers sent calls on
// connections that were being closed; 1 or 2 of 7,200 calls failed in a rolling
// restart of 12 nodes.
constexpr Milliseconds kEntryGrace{1000};

// With a readiness port, the maximum time until callers detect that the node
// accepts no more calls: two health checks, one per second, and some delay.
constexpr Milliseconds kReadinessGrace{2500};
// Callers that were just directed to this node may still open a connection.
constexpr Milliseconds kLastConnectionsGrace{100};

constexpr Milliseconds kGaugePeriod{1000};

// How often the evidence is passed on. The last decision of a roll-out needs
// the latest; otherwise the controllers read it at most four times a second.
constexpr Milliseconds kEvidencePeriod{50};
constexpr int kQuietEvidencePeriods = 5;

// The last responses are written in the next iterations of the event loop.
constexpr Milliseconds kTimeToWrite{50};
// How often a stop checks whether callers have read their last responses.
constexpr Milliseconds kReaderCheckPeriod{20};

struct StopMessage {};
struct NoMoreCallersMessage {};
struct EndMessage {};
using Message = std::variant<std::shared_ptr<const RouteSnapshot>,
                             LocalTarget,
                             StopMessage,
                             NoMoreCallersMessage,
                             EndMessage>;

}  // namespace

class CallTask::Impl final {
 public:
  Impl(const Settings& settings,
       CallInterface call_interface,
       uint64_t incarnation,
       std::unique_ptr<EventLoop> loop,
       Logger* logger,
       MetricsRegistry* metrics,
       Tracer* tracer,
       Events events)
      : settings_(settings),
        call_interface_(std::move(call_interface)),
        logger_(logger),
        events_(std::move(events)),
        loop_(std::move(loop)),
        deleter_(loop_->base()),
        metrics_(metrics),
        router_(&loop_->clock(),
                settings.region,
                settings.data_centre,
                incarnation ^ std::hash<std::string>()(settings.node_id)),
        registry_(metrics),
        budget_(settings.max_buffered_mb == 0
                    ? BufferBudget::DefaultLimit()
                    : static_cast<size_t>(settings.max_buffered_mb) << 20),
        input_ledger_(&budget_, InputLimits(settings)),
        connections_(loop_.get(), &deleter_, &budget_),
        response_writes_([this] { ReportStoppedIfDone(); }),
        mailbox_(loop_.get(),
                 [this](Message message) { OnMessage(std::move(message)); }) {
    context_.node = settings.node_id;
    context_.service = settings.service;
    context_.loop = loop_.get();
    context_.deleter = &deleter_;
    context_.router = &router_;
    context_.connections = &connections_;
    context_.logger = logger;
    context_.metrics = &metrics_;
    context_.tracer = tracer;
    context_.header_codec = call_interface_.headers.get();
    context_.addressing = call_interface_.addressing.get();
    context_.has_one_time_keys = call_interface_.has_one_time_keys;
    context_.budget = &budget_;
    context_.max_pipelined = static_cast<size_t>(settings.max_pipelined);
    context_.retry_share = &retry_share_;
    context_.response_writes = &response_writes_;
    context_.on_ejected = events_.on_ejected;
    context_.on_target_lost = events_.on_target_lost;
    router_.set_fleet_retry_limits({settings.retry_ratio,
                                    Milliseconds(settings.retry_window_ms),
                                    settings.retry_slack});
    const AllowanceBounds bounds{Milliseconds(settings.allowance_window_ms),
                                 settings.allowance_over,
                                 static_cast<double>(settings.allowance_slack)};
    if (bounds.is_enabled()) {
      allowances_ = std::make_unique<AllowanceExchange>(
          &context_, bounds, settings.shared_key, incarnation, metrics);
      context_.allowances = allowances_.get();
    }
    one_time_ = std::make_unique<OneTime>(
        settings_, incarnation, &context_, logger_,
        OneTime::Events{[this](const OwnerIncarnation& owner) {
                          logger_->Info(
                              "records_inherited",
                              {{"home", owner.first},
                               {"incarnation", owner.second},
                               {"cause", "handover at a planned stop"}});
                          if (events_.on_takeover) {
                            events_.on_takeover(owner.first, owner.second);
                          }
                        },
                        [this] { AdvanceStop(); }});
  }

  ~Impl() {
    loop_->Stop();
    if (thread_.joinable()) {
      thread_.join();
    }
    ended_ = true;
    if (mesh_server_ != nullptr) {
      // The connections are closed with the servers, so the calls must have
      // ended before.
      CutOff();
    }
    entry_.reset();
    // The target proxy reports refused attempts to the attempt guard, which
    // `one_time_` owns.
    target_proxy_.reset();
    one_time_.reset();
    allowances_.reset();
    call_server_.reset();
    mesh_server_.reset();
  }

  bool Start(Failure* reason) {
    entry_ = std::make_unique<CallEntry>(&context_, one_time_.get(),
                                         [this] { AdvanceStop(); });
    target_proxy_ = std::make_unique<TargetProxy>(
        &context_, Milliseconds(settings_.target_leaving_ms),
        [this] { AdvanceStop(); });
    call_server_ = HttpServer::Make(
        loop_->base(), {settings_.address, settings_.call_port},
        [this](evhttp_request* request) { entry_->OnRequest(request); }, reason,
        MakeGuard("call"));
    if (call_server_ == nullptr) {
      return false;
    }
    mesh_server_ = HttpServer::Make(
        loop_->base(), {settings_.address, settings_.mesh_port},
        [this](evhttp_request* request) {
          if (!one_time_->OnMeshRequest(request) &&
              (allowances_ == nullptr ||
               !allowances_->OnMeshRequest(request))) {
            target_proxy_->OnRequest(request);
          }
        },
        reason, MakeGuard("mesh"));
    if (mesh_server_ == nullptr) {
      return false;
    }
    loop_->timers().SubscribeEvery(kGaugePeriod, [this] {
      metrics_.buffered_bytes()->Set(static_cast<int64_t>(budget_.held()));
    });
    if (events_.on_evidence) {
      loop_->timers().SubscribeEvery(kEvidencePeriod, [this] {
        const bool is_due = target_proxy_->is_in_rollout() ||
                            ++evidence_ticks_ % kQuietEvidencePeriods == 0;
        if (is_due && target_proxy_->evidence().TakeChanged()) {
          events_.on_evidence(target_proxy_->evidence().evidence());
        }
      });
    }
    thread_ = std::thread([this] {
      const SignalStack signal_stack;
      loop_->Run();
    });
    return true;
  }

  CallsInProgress calls_in_progress() {
    return {metrics_.entry_calls()->value(), metrics_.target_calls()->value()};
  }

  CutOffCalls End() {
    if (thread_.joinable()) {
      Post(EndMessage{});
      thread_.join();
    }
    return cut_off_;
  }

  void Post(Message message) { mailbox_.Post(std::move(message)); }

 private:
  std::unique_ptr<InputGuard> MakeGuard(const char* port) {
    // evhttp responds to heads over its own limit.
    constexpr size_t kHeadMargin = 16 << 10;
    return MakeInputGuard(
        loop_.get(), &input_ledger_,
        {.max_connections = ConnectionLimits::FromSettings(settings_).calls,
         .max_head_bytes = kMaxHeaderBytes + kHeadMargin,
         .refusal_headers = RefusalHeaders(*context_.header_codec)},
        port, logger_, registry_);
  }

  void OnMessage(Message message) {
    std::visit([this](auto& typed) { Handle(std::move(typed)); }, message);
  }

  void Handle(std::shared_ptr<const RouteSnapshot> routes) {
    router_.SetRoutes(std::move(routes));
    target_proxy_->OnRoutes();
    one_time_->OnRoutes();
    if (allowances_ != nullptr) {
      allowances_->OnRoutes();
    }
  }

  void Handle(LocalTarget target) { target_proxy_->SetTarget(target); }

  void Handle(StopMessage) {
    if (std::exchange(stopping_, true)) {
      return;
    }
    const Milliseconds drain_timeout(settings_.drain_timeout_ms);
    cut_off_time_ = loop_->clock().Now() + drain_timeout;
    target_proxy_->Drain(cut_off_time_ - kTimeToWrite);
    one_time_->RefuseKeys();
    call_server_->CloseAfterResponses();
    entry_->StartNoneEarly();
    // The grace period is a fraction of the drain timeout, which covers the
    // complete stop.
    const Milliseconds grace =
        settings_.ready_port != 0 ? std::min(kReadinessGrace, drain_timeout / 2)
                                  : std::min(kEntryGrace, drain_timeout / 4);
    loop_->timers().SubscribeOnce(grace, [this] { EndEntryGrace(); });
    logger_->Info(
        "call_drain_started",
        {{"entry_calls", static_cast<uint64_t>(entry_->calls_in_progress())},
         {"target_calls",
          static_cast<uint64_t>(target_proxy_->calls_in_progress())}});
    loop_->timers().SubscribeOnce(drain_timeout, [this] {
      CutOff();
      HandOver();
      write_time_over_ = true;
      ReportStoppedIfDone();
    });
    AdvanceStop();
  }

  void Handle(NoMoreCallersMessage) {
    loop_->timers().SubscribeOnce(kLastConnectionsGrace,
                                  [this] { EndEntryGrace(); });
  }

  void Handle(EndMessage) {
    CutOff();
    if (cut_off_.none() && response_writes_.count() == 0) {
      loop_->Stop();
      return;
    }
    loop_->timers().SubscribeOnce(kTimeToWrite, [this] { loop_->Stop(); });
  }

  // Ends all calls in progress. Their responses are written in the next
  // iterations of the event loop.
  void CutOff() {
    const CallsInProgress in_progress = calls_in_progress();
    cut_off_.entry += in_progress.entry;
    cut_off_.target += in_progress.target;
    cut_off_.keyed +=
        static_cast<int64_t>(one_time_->dispatcher()->calls_in_progress());
    // In this order, calls whose owner is at this node end with the result of
    // the owner.
    target_proxy_->CutOff();
    one_time_->CutOff();
    entry_->CutOff();
  }

  // Ends the time in which a stopping node still accepts all calls. After a
  // pause of the process, that timer is due together with the connections that
  // arrived meanwhile; their requests are read one turn of the loop later.
  void EndEntryGrace() {
    loop_->timers().SubscribeOnce(Milliseconds(1), [this] { StopEntry(); });
  }

  void StopEntry() {
    if (std::exchange(entry_grace_over_, true)) {
      return;
    }
    // The local target may use the call port until its last call has ended, and
    // callers their open connections. A call that has its deadline after the
    // drain timeout could be cut off while a target runs it.
    entry_->RefuseCallsBeyond(cut_off_time_ - kTimeToWrite);
    one_time_->BeginDrain();
    AdvanceStop();
  }

  void AdvanceStop() {
    if (ended_ || !entry_grace_over_ ||
        target_proxy_->calls_in_progress() > 0) {
      return;
    }
    // Until this point the local target may have used the call port for its
    // last calls.
    entry_->RefuseNewCalls();
    call_server_->StopListening();
    // Calls at the entry may wait for the handover, so the handover must not
    // wait for them.
    if (one_time_->calls_in_progress() == 0) {
      HandOver();
    }
    ReportStoppedIfDone();
  }

  void HandOver() {
    if (std::exchange(handing_over_, true)) {
      return;
    }
    one_time_->HandOver([this](const NodeId& successor) {
      handed_over_to_ = successor;
      ReportStoppedIfDone();
    });
  }

  void ReportStoppedIfDone() {
    if (ended_ || !handed_over_to_ || stop_reported_ ||
        entry_->calls_in_progress() > 0 ||
        (response_writes_.count() > 0 && !write_time_over_)) {
      return;
    }
    stop_reported_ = true;
    loop_->timers().SubscribeOnce(kTimeToWrite, [this] { AwaitReaders(); });
  }

  // The end of the process closes all sockets. A byte that a caller sends then
  // would discard the part of a response that it has not received.
  void AwaitReaders() {
    if (call_server_->CountLingering() > 0 && !write_time_over_) {
      loop_->timers().SubscribeOnce(kReaderCheckPeriod,
                                    [this] { AwaitReaders(); });
      return;
    }
    ReportStopped(*handed_over_to_);
  }

  void ReportStopped(const NodeId& successor) {
    logger_->Info("call_drain_ended", {{"entry_calls", cut_off_.entry},
                                       {"target_calls", cut_off_.target},
                                       {"keyed_calls", cut_off_.keyed}});
    if (events_.on_stopped) {
      events_.on_stopped(successor, cut_off_);
    }
  }

  const Settings settings_;
  const CallInterface call_interface_;
  Logger* const logger_;
  const Events events_;
  const std::unique_ptr<EventLoop> loop_;
  DeferredDeleter deleter_;
  CallMetrics metrics_;
  Router router_;
  MetricsRegistry* const registry_;
  BufferBudget budget_;
  int evidence_ticks_ = 0;
  InputLedger input_ledger_;
  ConnectionPool connections_;
  ResponseWrites response_writes_;
  RetryShare retry_share_;
  CallContext context_;
  std::unique_ptr<AllowanceExchange> allowances_;
  std::unique_ptr<OneTime> one_time_;
  std::unique_ptr<CallEntry> entry_;
  std::unique_ptr<TargetProxy> target_proxy_;
  std::unique_ptr<HttpServer> call_server_;
  std::unique_ptr<HttpServer> mesh_server_;
  bool stopping_ = false;
  // When the calls in progress are cut off, if the node is stopping.
  TimePoint cut_off_time_{};
  bool entry_grace_over_ = false;
  bool handing_over_ = false;
  // The drain timeout has passed, so that the stop waits no longer for peers to
  // read their responses.
  bool write_time_over_ = false;
  // Set when the handover has ended; an empty string if no node took over the
  // records.
  std::optional<NodeId> handed_over_to_;
  bool stop_reported_ = false;
  // The thread has ended.
  bool ended_ = false;
  // The calls that were cut off.
  CutOffCalls cut_off_;
  Mailbox<Message> mailbox_;
  std::thread thread_;
};

CallTask::CallTask(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

CallTask::~CallTask() = default;

std::unique_ptr<CallTask> CallTask::Make(const Settings& settings,
                                         CallInterface call_interface,
                                         uint64_t incarnation,
                                         const Clock* clock,
                                         Logger* logger,
                                         MetricsRegistry* metrics,
                                         Tracer* tracer,
                                         Events events,
                                         Failure* reason) {
  // libevent writes to sockets that the peer may have closed.
  std::signal(SIGPIPE, SIG_IGN);
  std::unique_ptr<EventLoop> loop = EventLoop::Make(clock);
  if (loop == nullptr) {
    *reason = {FailureCode::kInternal, "call task",
               "cannot create the event loop"};
    return nullptr;
  }
  auto impl = std::make_unique<Impl>(settings, std::move(call_interface),
                                     incarnation, std::move(loop), logger,
                                     metrics, tracer, std::move(events));
  if (!impl->Start(reason)) {
    return nullptr;
  }
  return std::unique_ptr<CallTask>(new CallTask(std::move(impl)));
}

CallTask::CallsInProgress CallTask::calls_in_progress() const {
  return impl_->calls_in_progress();
}

CallTask::CutOffCalls CallTask::End() {
  return impl_->End();
}

void CallTask::PostRoutes(std::shared_ptr<const RouteSnapshot> routes) {
  impl_->Post(std::move(routes));
}

void CallTask::PostTarget(const LocalTarget& target) {
  impl_->Post(target);
}

void CallTask::PostNoMoreCallers() {
  impl_->Post(NoMoreCallersMessage{});
}

void CallTask::PostStop() {
  impl_->Post(StopMessage{});
}

}  // namespace dragonflytack
