#ifndef DRAGONFLYTACK_SRC_CALLS_ONE_TIME_DISPATCHER_H_
#define DRAGONFLYTACK_SRC_CALLS_ONE_TIME_DISPATCHER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>

#include "calls/call_context.h"
#include "calls/call_request.h"
#include "calls/call_result.h"
#include "onetime/begin_decision.h"
#include "onetime/one_time_key.h"
#include "onetime/one_time_records.h"
#include "onetime/record_id.h"

namespace dragonflytack {

// Dispatches the calls of the keys whose records this process holds, each key
// once. A dispatched call continues when all its waiters have disconnected, so
// that its response is recorded.
class OneTimeDispatcher final {
 public:
  // Called at most once, from the event loop or from within EndAllAsUnknown(),
  // and never from within Handle() or RemoveWaiter(). It must not destroy the
  // dispatcher or another waiting call.
  using Callback = std::function<void(CallResult)>;
  // Identifies a waiting call for RemoveWaiter().
  using WaiterId = uint64_t;

  // Both pointers must outlive the object. `on_call_ended` is called after each
  // dispatched call, also from within EndAllAsUnknown(). It must not destroy
  // the dispatcher.
  OneTimeDispatcher(const CallContext* context,
                    OneTimeRecords* records,
                    std::function<void()> on_call_ended);
  ~OneTimeDispatcher();
  OneTimeDispatcher(const OneTimeDispatcher&) = delete;
  OneTimeDispatcher& operator=(const OneTimeDispatcher&) = delete;

  // Whether this process holds the records of the key's owner, or held and
  // handed them over.
  bool HasRecordsOf(const OneTimeKey& key) const {
    return records_->HasRecordsOf({key.owner, key.incarnation});
  }

  // Returns the result if it is available immediately. Otherwise sets
  // `waiter_id` and reports the result to `callback` later.
  std::optional<CallResult> Handle(const OneTimeKey& key,
                                   const CallRequest& request,
                                   Callback callback,
                                   WaiterId* waiter_id);

  // Removes a waiter; its callback is not called, but the dispatched call
  // continues.
  void RemoveWaiter(WaiterId waiter_id);

  // Ends all dispatched calls as unknown.
  void EndAllAsUnknown();

  size_t calls_in_progress() const { return dispatches_.size(); }

 private:
  struct Dispatch;

  void OnResult(Dispatch* dispatch, CallResult result);
  // Reports `result` to all waiters and removes the dispatch.
  void Complete(Dispatch* dispatch, const std::function<CallResult()>& result);

  const CallContext* const context_;
  OneTimeRecords* const records_;
  const std::function<void()> on_call_ended_;
  std::map<RecordId, std::unique_ptr<Dispatch>> dispatches_;
  // The record whose result each waiter waits for.
  std::map<WaiterId, RecordId> waiters_;
  WaiterId last_waiter_id_ = 0;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_CALLS_ONE_TIME_DISPATCHER_H_
