#ifndef DRAGONFLYTACK_DAEMON_CONTROL_TASK_H_
#define DRAGONFLYTACK_DAEMON_CONTROL_TASK_H_

#include <functional>
#include <memory>
#include <optional>

#include "daemon/admin_api.h"
#include "daemon/admin_server.h"
#include "daemon/environment.h"
#include "daemon/fleet_report.h"
#include "daemon/observed_store.h"
#include "daemon/readiness.h"
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

struct event;

namespace dragonflytack {

class Logger;

// The task that owns all parts of a daemon but the calls: links, distribution,
// the store session, the admin server and the life of the local target. It runs
// on the thread that calls Run() and takes the signals of the process.
class ControlTask final {
 public:
  // Binds the peer and admin ports. Returns nothing when a part cannot be made.
  // `clock` and `logger` must outlive the task.
  static std::unique_ptr<ControlTask> Make(const Settings& settings,
                                           const Environment& environment,
                                           const Clock* clock,
                                           Logger* logger,
                                           Failure* reason);
  ~ControlTask();
  ControlTask(const ControlTask&) = delete;
  ControlTask& operator=(const ControlTask&) = delete;

  // Runs until the process is asked to stop. Returns its exit code: 0 after a
  // graceful stop; 1 when SIGINT during it or the drain timeout cut it short.
  int Run();

 private:
  using Message = std::function<void()>;

  ControlTask(const Settings& settings,
              const Environment& environment,
              const Clock* clock,
              Logger* logger,
              std::unique_ptr<EventLoop> loop);
  bool MakeParts(Failure* reason);
  bool MakeCallTask(Failure* reason);
  // Binds the ports for readiness and announcements.
  bool MakeTargetPorts(Failure* reason);
  void CatchSignals();
  static void OnSignal(int signal, short what, void* self);

  void OnRoutes(std::shared_ptr<const RouteSnapshot> routes);
  // Opens the call and mesh ports with the first snapshot. Before that, callers
  // could only be refused, and the incarnation may still be raised by what
  // peers remember of this node.
  void StartCalls(std::shared_ptr<const RouteSnapshot> routes);
  void PassOnTarget();
  void OnTarget(const LocalTarget& target);
  Failure TakeAnnouncement(const LocalTarget& target);
  // Takes over what can change at run time from the settings file.
  void Reload();
  void BeginStop(int signal);
  // No new callers are sent to this node any more.
  void OnNoMoreCallers();
  void OnCallsStopped(const NodeId& successor);
  void End(int exit_code);

  Settings settings_;
  const Environment environment_;
  std::optional<LocalTarget> last_target_;
  const Clock* const clock_;
  Logger* const logger_;
  const std::unique_ptr<EventLoop> loop_;
  MetricsRegistry metrics_;
  Tracer tracer_;
  // Reports of the call task.
  Mailbox<Message> mailbox_;
  std::unique_ptr<WebSocketLinkLayer> links_;
  std::unique_ptr<ObservedStore> store_;
  std::unique_ptr<DistributionCore> core_;
  std::unique_ptr<TargetLifeCycle> target_;
  std::unique_ptr<FleetReport> report_;
  std::unique_ptr<AdminApi> admin_api_;
  std::unique_ptr<AdminServer> admin_server_;
  Readiness readiness_{[this] { OnNoMoreCallers(); }};
  // Null when the settings name no port for them.
  std::unique_ptr<AdminServer> readiness_server_;
  std::unique_ptr<AdminHandler> announcements_;
  std::unique_ptr<AdminServer> announcement_server_;
  // Null when the settings name no collector.
  std::unique_ptr<OtlpExporter> exporter_;
  std::vector<event*> signal_events_;
  bool stopping_ = false;
  // Whether an announcement of the target is being taken.
  bool announcing_ = false;
  // When calls in flight are cut off.
  TimePoint stop_deadline_;
  int exit_code_ = 0;
  // Destroyed first: its thread posts to the mailbox.
  std::unique_ptr<CallTask> calls_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_DAEMON_CONTROL_TASK_H_
