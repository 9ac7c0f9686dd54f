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

// Receives handovers at the successor. Records are used for calls only after
// all chunks and the commit have arrived.
class HandoverReceiver final {
 public:
  using TakeoverCallback = std::function<void(const OwnerIncarnation& owner)>;

  // `records` must outlive the receiver. `on_takeover` is called once for each
  // owner whose records this process takes over, from within OnMessage().
  HandoverReceiver(OneTimeRecords* records, TakeoverCallback on_takeover);

  HandoverReply OnMessage(HandoverMessage message, TimePoint now);

  // Drops staged transfers whose sender stopped sending before the commit.
  void Sweep(TimePoint now);

 private:
  // Sender and owner.
  using TransferKey = std::pair<OwnerIncarnation, OwnerIncarnation>;
  struct StagedTransfer {
    std::map<uint32_t, std::vector<std::pair<RecordId, Record>>> chunks;
    size_t records = 0;
    TimePoint last_message;
  };

  HandoverReply OnChunk(HandoverMessage message, TimePoint now);
  HandoverReply OnCommit(const HandoverMessage& message, TimePoint now);
  // Removes a staged transfer; does nothing for end().
  void DropTransfer(std::map<TransferKey, StagedTransfer>::iterator transfer);

  OneTimeRecords* const records_;
  const TakeoverCallback on_takeover_;
  std::map<TransferKey, StagedTransfer> staged_;
  size_t staged_records_ = 0;
  // The sender of each owner's records, so that a duplicate commit is accepted
  // again and a commit from another sender is not.
  std::map<OwnerIncarnation, OwnerIncarnation> senders_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_ONETIME_HANDOVER_RECEIVER_H_
