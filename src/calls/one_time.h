#ifndef DRAGONFLYTACK_SRC_CALLS_ONE_TIME_H_
#define DRAGONFLYTACK_SRC_CALLS_ONE_TIME_H_

#include <functional>
#include <memory>
#include <string>

#include "calls/call_context.h"
#include "calls/forwarded_call_server.h"
#include "calls/handover_runner.h"
#include "calls/one_time_dispatcher.h"
#include "dragonflytack/base/settings.h"
#include "dragonflytack/base/timer_service.h"
#include "dragonflytack/store/store_client.h"
#include "onetime/attempt_guard.h"
#include "onetime/attempt_id_generator.h"
#include "onetime/claim_budget.h"
#include "onetime/claim_sweep.h"
#include "onetime/handover_receiver.h"
#include "onetime/one_time_records.h"

struct evhttp_request;

namespace dragonflytack {

class Logger;

// The one-time calls with a key of one call task: key requests, claims,
// records, dispatch and handover.
class OneTime final {
 public:
  struct Events {
    // Called from within OnMeshRequest().
    std::function<void(const OwnerIncarnation& owner)> on_takeover;
    // Called when a call with a key whose owner is this node has ended, also
    // from within OnMeshRequest() and HandOver(). It must not destroy the
    // object.
    std::function<void()> on_call_ended;
  };

  // `context` must outlive the object; its one-time members are set here.
  OneTime(const Settings& settings,
          uint64_t incarnation,
          CallContext* context,
          Logger* logger,
          Events events);
  ~OneTime();
  OneTime(const OneTime&) = delete;
  OneTime& operator=(const OneTime&) = delete;

  // Handles a request of the mesh port if it is a forwarded call with a key or
  // a handover message. Returns false for other requests.
  bool OnMeshRequest(evhttp_request* request);

  // Responds to a request for a new key.
  void OnKeyRequest(evhttp_request* request);

  // Applies the number of nodes of the snapshot that is now in force.
  void OnRoutes();

  // Refuses requests for new keys; calls with keys of this process are still
  // accepted.
  void RefuseKeys() { refusing_keys_ = true; }
  // Refuses requests for new keys, and new calls with keys of this process.
  void BeginDrain() { records_.BeginDrain(); }
  // Begins the drain and ends the calls in progress as unknown.
  void CutOff() {
    BeginDrain();
    dispatcher_.EndAllAsUnknown();
  }
  size_t calls_in_progress() const {
    return dispatcher_.calls_in_progress() +
           forwarded_call_server_.calls_in_progress();
  }
  // Ends the calls in progress as unknown and sends the records to a successor.
  // Passes `done` the successor for the records of this process; empty if there
  // is none. `done` is never called from within this function. Must be called
  // only once.
  void HandOver(std::function<void(const NodeId& successor)> done);

  const std::string& shared_key() const { return settings_.shared_key; }
  OneTimeRecords* records() { return &records_; }
  OneTimeDispatcher* dispatcher() { return &dispatcher_; }
  // Null if no store is configured.
  StoreClient* store() { return store_.get(); }
  ClaimBudget* claim_budget() { return &claim_budget_; }

 private:
  void OnHandoverMessage(evhttp_request* request);
  void Sweep();
  void SweepClaims();

  const Settings settings_;
  CallContext* const context_;
  Logger* const logger_;
  OneTimeRecords records_;
  AttemptIdGenerator attempt_ids_;
  AttemptGuard attempt_guard_;
  HandoverReceiver handover_receiver_;
  OneTimeDispatcher dispatcher_;
  ForwardedCallServer forwarded_call_server_;
  std::unique_ptr<StoreClient> store_;
  ClaimBudget claim_budget_;
  ClaimSweep claim_sweep_;
  std::unique_ptr<HandoverRunner> handover_runner_;
  bool refusing_keys_ = false;
  TimerId sweep_timer_;
  TimerId claim_sweep_timer_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_CALLS_ONE_TIME_H_
