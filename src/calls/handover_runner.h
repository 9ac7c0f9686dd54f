#ifndef DRAGONFLYTACK_SRC_CALLS_HANDOVER_RUNNER_H_
#define DRAGONFLYTACK_SRC_CALLS_HANDOVER_RUNNER_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "calls/call_context.h"
#include "calls/exchange.h"
#include "dragonflytack/base/timer_service.h"
#include "onetime/handover_sender.h"

namespace dragonflytack {

// Sends the messages of a handover to the mesh ports of the candidates.
class HandoverRunner final {
 public:
  static constexpr char kPath[] = "/-/handover";
  static constexpr char kReplyHeader[] = "x-handover-reply";
  // Limits the whole handover, as a process is expected to exit soon after its
  // drain.
  static constexpr Milliseconds kTimeout{10'000};

  using Callback = std::function<void(const NodeId& successor)>;

  // The pointers must outlive the runner. `done` is called once, never from
  // within Start(), with the node that took over, or may have taken over, the
  // records of this process; empty if there is none. It must not destroy the
  // runner.
  HandoverRunner(const CallContext* context,
                 std::string shared_key,
                 OneTimeRecords* records,
                 std::vector<NodeLocation> candidates,
                 Callback done);
  ~HandoverRunner();
  HandoverRunner(const HandoverRunner&) = delete;
  HandoverRunner& operator=(const HandoverRunner&) = delete;

  void Start();

 private:
  void SendNext();
  void OnExchangeFinished(ExchangeOutcome outcome, HttpRequestPtr response);
  // Sends the next message after `delay`.
  void ScheduleNext(Milliseconds delay);
  void Finish();

  const CallContext* const context_;
  const std::string shared_key_;
  OneTimeRecords* const records_;
  HandoverSender sender_;
  const Callback done_;
  bool finished_ = false;
  TimerId timeout_timer_ = 0;
  TimerId next_timer_ = 0;
  std::unique_ptr<Exchange> exchange_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_CALLS_HANDOVER_RUNNER_H_
