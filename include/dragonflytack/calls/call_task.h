#ifndef DRAGONFLYTACK_CALLS_CALL_TASK_H_
#define DRAGONFLYTACK_CALLS_CALL_TASK_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "dragonflytack/base/clock.h"
#include "dragonflytack/base/failure.h"
#include "dragonflytack/calls/call_interface.h"
#include "dragonflytack/calls/local_target.h"
#include "dragonflytack/registry/node_id.h"

namespace dragonflytack {

class Logger;
class MetricsRegistry;
class Tracer;
struct ReleaseEvidence;
struct RouteSnapshot;
struct Settings;

// The task that processes calls on its own thread. It owns the servers on the
// call and mesh ports, the connections to other nodes and to the local target,
// and the one-time records.
class CallTask final {
 public:
  // Calls that have no response yet.
  struct CallsInProgress {
    // Those that arrived at the call port.
    int64_t entry = 0;
    // Those for the local target.
    int64_t target = 0;
  };

  // Calls that were ended without the response of a target.
  struct CutOffCalls {
    // Those that arrived at the call port.
    int64_t entry = 0;
    // Those for the local target.
    int64_t target = 0;
    // Those with a key that this node owns, at whichever node they arrived.
    int64_t keyed = 0;

    bool none() const { return entry == 0 && target == 0 && keyed == 0; }
  };

  // Reports to the control task. They are called on the thread of the call
  // task; the receiver posts them to its own mailbox.
  struct Events {
    // All calls have ended and the one-time records are handed over to
    // `successor`, which is empty if there were no records or no node to take
    // them over. `cut_off` are the calls that the stop cut off.
    std::function<void(const NodeId& successor, const CutOffCalls& cut_off)>
        on_stopped;
    // This node has taken over the one-time records of (owner, incarnation).
    std::function<void(const NodeId& owner, uint64_t incarnation)> on_takeover;
    // The endpoint of `service` on the node `target` is ejected for `period`
    // after failures.
    std::function<void(const std::string& service,
                       const NodeId& target,
                       Milliseconds period)>
        on_ejected;
    // The local target accepts no connection, or another target uses its
    // address.
    std::function<void()> on_target_lost;
    // The evidence about the local target's release changed; reported at most
    // every 250 ms. Empty if there are no roll-outs.
    std::function<void(const ReleaseEvidence&)> on_evidence;
  };

  // Binds the ports and starts the thread. Returns null if a port cannot be
  // bound. The pointers must outlive the task. `incarnation` is that of this
  // node's record.
  static std::unique_ptr<CallTask> Make(const Settings& settings,
                                        CallInterface call_interface,
                                        uint64_t incarnation,
                                        const Clock* clock,
                                        Logger* logger,
                                        MetricsRegistry* metrics,
                                        Tracer* tracer,
                                        Events events,
                                        Failure* reason);

  // Stops the thread at once: calls in progress get no response.
  ~CallTask();
  CallTask(const CallTask&) = delete;
  CallTask& operator=(const CallTask&) = delete;

  // May be called from any thread.
  CallsInProgress calls_in_progress() const;

  // Cuts off the calls in progress and stops the thread; waits for both, about
  // 50 ms if there are calls. The calls get a response with the reason
  // `stopping`; the outcome is unknown unless the call has certainly not run.
  // Returns how many calls were cut off since the start. The task handles no
  // messages afterwards.
  CutOffCalls End();

  // Messages to the task; they may be posted from any thread.

  // Puts a snapshot in force for all calls that arrive after this message.
  void PostRoutes(std::shared_ptr<const RouteSnapshot> routes);

  // Passes the newest announcement of the local target.
  void PostTarget(const LocalTarget& target);

  // After PostStop(): no new callers will connect, so the call port does not
  // have to wait for them any longer.
  void PostNoMoreCallers();

  // Refuses new calls for the local target, finishes all calls in flight, hands
  // over the one-time records, then reports on_stopped. Calls that are still in
  // progress after the drain timeout are cut off.
  void PostStop();

 private:
  class Impl;
  explicit CallTask(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_CALLS_CALL_TASK_H_
