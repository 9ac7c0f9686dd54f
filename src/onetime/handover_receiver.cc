#include "onetime/handover_receiver.h"

#include <algorithm>

#include "onetime/one_time_records.h"

namespace dragonflytack {

namespace {

// Must exceed the longest drain of a sender, 30 s by default.
constexpr auto kStagedRetention = std::chrono::minutes(2);

}  // namespace

HandoverReceiver::HandoverReceiver(OneTimeRecords* records,
                                   TakeoverCallback on_takeover)
    : records_(records), on_takeover_(std::move(on_takeover)) {}

HandoverReply HandoverReceiver::OnMessage(HandoverMessage message,
                                          TimePoint now) {
  if (message.to !=
      OwnerIncarnation(records_->self(), records_->incarnation())) {
    return HandoverReply::kWrongProcess;
  }
  const auto sender = senders_.find(message.owner);
  if (sender != senders_.end() && sender->second == message.from) {
    return HandoverReply::kAccepted;
  }
  // A stopping process must not accept records that it would lose, and no
  // process accepts records that it holds or has handed over.
  if (records_->draining() || records_->HasRecordsOf(message.owner)) {
    DropTransfer(staged_.find({message.from, message.owner}));
    return HandoverReply::kDraining;
  }
  return message.kind == HandoverMessage::Kind::kChunk
             ? OnChunk(std::move(message), now)
             : OnCommit(message, now);
}

HandoverReply HandoverReceiver::OnChunk(HandoverMessage message,
                                        TimePoint now) {
  if (!records_->HasRoomFor(staged_records_ + message.records.size())) {
    return HandoverReply::kFull;
  }
  StagedTransfer& staged = staged_[{message.from, message.owner}];
  staged.last_message = now;
  const size_t added = message.records.size();
  // A duplicate of a chunk has the same content, because the sender does not
  // change a set during its handover.
  if (staged.chunks.emplace(message.index, std::move(message.records)).second) {
    staged.records += added;
    staged_records_ += added;
  }
  return HandoverReply::kAccepted;
}

HandoverReply HandoverReceiver::OnCommit(const HandoverMessage& message,
                                         TimePoint now) {
  const auto it = staged_.find({message.from, message.owner});
  const size_t chunk_count = it == staged_.end() ? 0 : it->second.chunks.size();
  if (chunk_count != message.index ||
      (chunk_count > 0 &&
       it->second.chunks.rbegin()->first + 1 != message.index)) {
    return HandoverReply::kIncomplete;
  }
  RecordSet set(message.time_ms, now);
  if (it != staged_.end()) {
    for (auto& [index, chunk] : it->second.chunks) {
      for (auto& [id, record] : chunk) {
        set.Add(id, std::move(record), message.time_ms);
      }
    }
    DropTransfer(it);
  }
  records_->Install(message.owner, std::move(set));
  senders_.emplace(message.owner, message.from);
  on_takeover_(message.owner);
  return HandoverReply::kAccepted;
}

void HandoverReceiver::DropTransfer(
    std::map<TransferKey, StagedTransfer>::iterator transfer) {
  if (transfer != staged_.end()) {
    staged_records_ -= transfer->second.records;
    staged_.erase(transfer);
  }
}

void HandoverReceiver::Sweep(TimePoint now) {
  std::erase_if(staged_, [this, now](const auto& entry) {
    if (now - entry.second.last_message <= kStagedRetention) {
      return false;
    }
    staged_records_ -= entry.second.records;
    return true;
  });
}

}  // namespace dragonflytack
