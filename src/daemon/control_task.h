#ifndef DRAGONFLYTACK_DAEMON_CONTROL_TASK_H_
#define DRAGONFLYTACK_DAEMON_CONTROL_TASK_H_

#include <functional>
#include <memory>
#include <optional>
#include <string_view>

#include "base/buffer_budget.h"
#include "base/input_ledger.h"
#include "daemon/admin_api.h"
#include "daemon/admin_server.h"
#include "daemon/announcement_queue.h"
#include "daemon/environment.h"
#include "daemon/fleet_report.h"
#include "daemon/observed_store.h"
#include "daemon/readiness_handler.h"
#include "daemon/target_life_cycle.h"
#include "dragonflytack/base/event_loop.h"
#include "dragonflytack/base/mailbox.h"
#include "dragonflytack/base/settings.h"
#include "dragonflytack/calls/call_task.h"
#include "dragonflytack/distribution/distribution_core.h"
#include "dragonflytack/observe/metrics_registry.h"
#include "dragonflytack/observe/otlp_exporter.h"
#include "dragonflytack/observe/tracer.h"
#include "net/websocket_link_layer.h"
#include "rollout/rollout_controller.h"

struct event;

namespace dragonflytack {

class Logger;

// Owns everything in a daemon except the serving of calls: the links, the
// distribution, the store session, the admin server and the state of the local
// target. Runs on the thread that calls Run() and handles the signals of the
// process.
class ControlTask final {
 public:
  // Binds the peer and admin ports. Returns null and sets `reason` if a
  // component cannot be created. `clock` and `logger` must outlive the task.
  static std::unique_ptr<ControlTask> Make(const Settings& settings,
                                           const Environment& environment,
                                           const Clock* clock,
                                           Logger* logger,
                                           Failure* reason);
  ~ControlTask();
  ControlTask(const ControlTask&) = delete;
  ControlTask& operator=(const ControlTask&) = delete;

  // Runs until the process is signalled to stop. Returns the exit code of the
  // process: 0 after a graceful stop; 1 if the stop was cut short by SIGINT, if
  // the drain timeout cut off calls or the handover of the one-time records, or
  // if the call and mesh ports could not be bound.
  int Run();

 private:
  using Message = std::function<void()>;

  ControlTask(const Settings& settings,
              const Environment& environment,
              const Clock* clock,
              Logger* logger,
              std::unique_ptr<EventLoop> loop);
  bool MakeComponents(Failure* reason);
  bool MakeCallTask(Failure* reason);
  std::unique_ptr<InputGuard> MakeGuard(const char* port);
  // Binds the readiness and announcement ports that are configured.
  bool MakeReadinessAndAnnouncementServers(Failure* reason);
  void RegisterSignalHandlers();
  static void OnSignal(int signal, short what, void* self);

  void OnRoutes(std::shared_ptr<const RouteSnapshot> routes);
  // Opens the call and mesh ports with the first snapshot. Before that, calls
  // could only be refused, and this node's incarnation may still rise when
  // peers send the record that they hold of its earlier run.
  void StartCalls(std::shared_ptr<const RouteSnapshot> routes);
  // Passes the local target's state to the call task and the distribution core.
  void PublishTarget();
  void OnTargetChanged(const LocalTarget& target);
  // Lets an announcement take effect. Returns a failure other than kNone if it
  // is refused.
  Failure ApplyAnnouncement(const LocalTarget& target);
  void OnDepartureStatus();
  // Reads the settings file again and applies the settings that can change at
  // run time.
  void Reload();
  void BeginStop(int signal);
  // Called when callers are no longer directed to this node.
  void OnNoMoreCallers();
  void OnCallsStopped(const NodeId& successor,
                      const CallTask::CutOffCalls& cut_off);
  // Ends a stop whose calls have ended and whose records are handed over.
  void EndStop();
  // `outcome` is the cause of the end for the log. Only the first call has an
  // effect on both.
  void StopLoop(int exit_code, std::string_view outcome);
  CallTask::CallsInProgress CallsInProgress() const;

  Settings settings_;
  const Environment environment_;
  std::optional<LocalTarget> last_target_;
  const Clock* const clock_;
  Logger* const logger_;
  const std::unique_ptr<EventLoop> loop_;
  MetricsRegistry metrics_;
  Tracer tracer_;
  // Messages posted by the call task.
  Mailbox<Message> mailbox_;
  // Of the admin, readiness and target ports; the call task has its own.
  BufferBudget input_budget_;
  InputLedger input_ledger_;
  std::unique_ptr<WebSocketLinkLayer> links_;
  std::unique_ptr<ObservedStore> store_;
  std::unique_ptr<DistributionCore> core_;
  // Null if the settings enable no roll-outs.
  std::unique_ptr<RolloutController> rollout_controller_;
  std::unique_ptr<TargetLifeCycle> target_life_cycle_;
  std::unique_ptr<AnnouncementQueue> announcements_;
  std::unique_ptr<FleetReport> fleet_report_;
  std::unique_ptr<AdminApi> admin_api_;
  std::unique_ptr<AdminServer> admin_server_;
  ReadinessHandler readiness_handler_{[this] { OnNoMoreCallers(); }};
  // Each is null if no port is configured for it.
  std::unique_ptr<AdminServer> readiness_server_;
  std::unique_ptr<AdminHandler> announcement_handler_;
  std::unique_ptr<AdminServer> announcement_server_;
  // Null if no trace collector is configured.
  std::unique_ptr<OtlpExporter> exporter_;
  std::vector<event*> signal_events_;
  bool stopping_ = false;
  // Set by OnCallsStopped(): that it was called, and whether the stop cut off
  // no call.
  bool calls_stopped_ = false;
  bool calls_drained_ = false;
  // Whether an announcement of the target is being handled.
  bool handling_announcement_ = false;
  int exit_code_ = 0;
  std::string_view outcome_;
  // Destroyed first: its thread posts to the mailbox.
  std::unique_ptr<CallTask> call_task_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_DAEMON_CONTROL_TASK_H_
