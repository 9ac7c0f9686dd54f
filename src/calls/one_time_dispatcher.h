#ifndef DRAGONFLYTACK_SRC_CALLS_HOME_CALLS_H_
#define DRAGONFLYTACK_SRC_CALLS_HOME_CALLS_H_

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

// The calls whose key this node answers for. A dispatched call goes on when
// all who wait for it have gone, so that its answer is recorded.
class OneTimeDispatcher final {
 public:
  using Callback = std::function<void(CallResult)>;
  // Names a waiting call for Forget().
  using Ticket = uint64_t;

  // Both must outlive the object. `on_call_ended` is called after each
  // dispatched call.
  OneTimeDispatcher(const CallContext* context,
                    OneTimeRecords* records,
                    std::function<void()> on_call_ended);
  ~OneTimeDispatcher();
  OneTimeDispatcher(const OneTimeDispatcher&) = delete;
  OneTimeDispatcher& operator=(const OneTimeDispatcher&) = delete;

  // Whether this process has the records of the key's home, or handed them on.
  bool HasRecordsOf(const OneTimeKey& key) const {
    return records_->HasRecordsOf({key.owner, key.incarnation});
  }

  // Returns the result if it is there at once; otherwise sets `ticket` and
  // reports the result to `callback` later.
  std::optional<CallResult> Handle(const OneTimeKey& key,
                                   const CallRequest& request,
                                   Callback callback,
                                   Ticket* ticket);

  // Drops a waiting call; the action goes on.
  void Forget(Ticket ticket);

  // Ends all dispatched calls as unknown.
  void GiveUp();

  size_t calls_in_progress() const { return dispatches_.size(); }

 private:
  struct Dispatch;

  void OnResult(Dispatch* dispatch, CallResult result);
  void End(Dispatch* dispatch, const std::function<CallResult()>& result);

  const CallContext* const context_;
  OneTimeRecords* const records_;
  const std::function<void()> on_call_ended_;
  std::map<RecordId, std::unique_ptr<Dispatch>> dispatches_;
  std::map<Ticket, RecordId> tickets_;
  Ticket last_ticket_ = 0;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_CALLS_HOME_CALLS_H_
