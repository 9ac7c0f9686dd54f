#include "onetime/handover_sender.h"

#include "onetime/one_time_records.h"
#include "onetime/recorded_response.h"

namespace dragonflytack {

namespace {

// Before the commit the next candidate can be used instead of waiting longer.
// After it no other candidate may be used, so the commit is sent more often.
constexpr int kMaxLostChunkReplies = 2;
constexpr int kMaxLostCommitReplies = 10;
// A successor that replies kIncomplete lacks chunks, for example because it
// dropped the staged records, so all chunks are sent again.
constexpr int kMaxRestarts = 3;
// Upper bound of the CBOR size of a record without its response.
constexpr size_t kMaxPlainRecordBytes = 64;

std::vector<std::vector<std::pair<RecordId, Record>>> SplitIntoChunks(
    const RecordSet& set) {
  std::vector<std::vector<std::pair<RecordId, Record>>> chunks;
  size_t bytes = HandoverMessage::kChunkBytes;
  for (const auto& [id, record] : set.records()) {
    if (bytes >= HandoverMessage::kChunkBytes) {
      chunks.emplace_back();
      bytes = 0;
    }
    chunks.back().emplace_back(id, record);
    bytes += kMaxPlainRecordBytes +
             (record.response == nullptr ? 0 : record.response->Bytes());
  }
  return chunks;
}

}  // namespace

HandoverSender::HandoverSender(OneTimeRecords* records,
                               std::vector<NodeLocation> candidates)
    : records_(records),
      candidates_(std::move(candidates)),
      owners_(records->ServedOwners()) {}

void HandoverSender::BeginSet(TimePoint now) {
  records_->HandOverTo(owners_.back(), candidates_[candidate_].id, now);
  chunks_ = SplitIntoChunks(*records_->Find(owners_.back()));
}

void HandoverSender::EndSet(TimePoint /*now*/) {
  owners_.pop_back();
  chunks_.clear();
  chunk_ = 0;
  commit_sent_ = false;
  lost_replies_ = 0;
  restarts_ = 0;
}

std::optional<HandoverSender::Outgoing> HandoverSender::Next(TimePoint now) {
  if (owners_.empty() || candidate_ >= candidates_.size()) {
    return std::nullopt;
  }
  const OwnerIncarnation& owner = owners_.back();
  if (records_->Find(owner)->handed_over_to() != candidates_[candidate_].id) {
    BeginSet(now);
  }
  const NodeLocation& to = candidates_[candidate_];
  HandoverMessage message{
      .from = {records_->self(), records_->incarnation()},
      .to = {to.id, to.incarnation},
      .owner = owner,
      .index = static_cast<uint32_t>(chunk_),
      .time_ms = records_->Find(owner)->TimeMs(now),
  };
  if (AtCommit()) {
    message.kind = HandoverMessage::Kind::kCommit;
    commit_sent_ = true;
    committed_to_[owner] = to.id;
  } else {
    message.records = chunks_[chunk_];
  }
  return Outgoing{to, std::move(message)};
}

void HandoverSender::NextCandidate(TimePoint /*now*/) {
  committed_to_.erase(owners_.back());
  ++candidate_;
  chunk_ = 0;
  commit_sent_ = false;
  lost_replies_ = 0;
  restarts_ = 0;
}

void HandoverSender::OnReply(HandoverReply reply, TimePoint now) {
  lost_replies_ = 0;
  switch (reply) {
    case HandoverReply::kAccepted:
      if (AtCommit()) {
        EndSet(now);
      } else {
        ++chunk_;
      }
      return;
    case HandoverReply::kIncomplete:
      chunk_ = 0;
      if (++restarts_ > kMaxRestarts) {
        EndSet(now);
      }
      return;
    case HandoverReply::kDraining:
      NextCandidate(now);
      return;
    case HandoverReply::kFull:
      // A delayed copy of the commit may still complete the staged transfer.
      if (commit_sent_) {
        OnNoReply(now);
      } else {
        NextCandidate(now);
      }
      return;
    case HandoverReply::kWrongProcess:
      if (commit_sent_) {
        EndSet(now);
      } else {
        NextCandidate(now);
      }
      return;
  }
}

void HandoverSender::OnNoReply(TimePoint now) {
  ++lost_replies_;
  if (commit_sent_) {
    if (lost_replies_ >= kMaxLostCommitReplies) {
      EndSet(now);
    }
  } else if (lost_replies_ >= kMaxLostChunkReplies) {
    NextCandidate(now);
  }
}

}  // namespace dragonflytack
