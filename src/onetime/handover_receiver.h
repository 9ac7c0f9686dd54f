#ifndef DRAGONFLYTACK_ONETIME_HANDOVER_RECEIVER_H_
#define DRAGONFLYTACK_ONETIME_HANDOVER_RECEIVER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <utility>
#include <vector>

#include "dragonflytack/base/clock.h"
#include "onetime/handover_message.h"
#include "onetime/handover_reply.h"

namespace dragonflytack {

class OneTimeRecords;

// The successor's side of handovers. Records answer calls only once the commit
// has come and every chunk before it.
class HandoverReceiver final {
 public:
  using TakeoverCallback = std::function<void(const OwnerIncarnation& owner)>;

  // `records` must outlive the receiver. `on_takeover` is called once for each
  // home that this process takes over.
  HandoverReceiver(OneTimeRecords* records, TakeoverCallback on_takeover);

  HandoverReply OnMessage(HandoverMessage message, TimePoint now);

  // Drops sets whose sender went silent before the commit.
  void Sweep(TimePoint now);

 private:
  // Sender and home.
  using Transfer = std::pair<OwnerIncarnation, OwnerIncarnation>;
  struct Staged {
    std::map<uint32_t, std::vector<std::pair<RecordId, Record>>> chunks;
    size_t records = 0;
    TimePoint last_message;
  };

  HandoverReply OnChunk(HandoverMessage message, TimePoint now);
  HandoverReply OnCommit(const HandoverMessage& message, TimePoint now);
  // Forgets a transfer, if it is there.
  void Drop(std::map<Transfer, Staged>::iterator transfer);

  OneTimeRecords* const records_;
  const TakeoverCallback on_takeover_;
  std::map<Transfer, Staged> staged_;
  size_t staged_records_ = 0;
  // The sender of each home's records, so that a repeated commit is accepted
  // again and one from another sender is not.
  std::map<OwnerIncarnation, OwnerIncarnation> senders_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_ONETIME_HANDOVER_RECEIVER_H_
