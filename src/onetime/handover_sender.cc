#include "onetime/handover_sender.h"

#include "onetime/one_time_records.h"
#include "onetime/recorded_response.h"

namespace dragonflytack {

namespace {

// Before the commit another candidate is better than a long wait; after it only
// the same one is left.
constexpr int kMaxLostChunks = 2;
constexpr int kMaxLostCommits = 10;
// A successor that answers "incomplete" has dropped what it had staged.
constexpr int kMaxRestarts = 3;
// Upper bound of a record without its answer in CBOR.
constexpr size_t kRecordBytes = 64;

std::vector<std::vector<std::pair<RecordId, Record>>> Split(
    const RecordSet& set) {
  std::vector<std::vector<std::pair<RecordId, Record>>> chunks;
  size_t bytes = HandoverMessage::kChunkBytes;
  for (const auto& [id, record] : set.records()) {
    if (bytes >= HandoverMessage::kChunkBytes) {
      chunks.emplace_back();
      bytes = 0;
    }
    chunks.back().emplace_back(id, record);
    bytes += kRecordBytes +
             (record.response == nullptr ? 0 : record.response->Bytes());
  }
  return chunks;
}

}  // namespace

HandoverSender::HandoverSender(OneTimeRecords* records,
                               std::vector<NodeLocation> candidates)
    : records_(records),
      candidates_(std::move(candidates)),
      owners_(records->Serving()) {}

void HandoverSender::BeginSet(TimePoint now) {
  records_->HandTo(owners_.back(), candidates_[candidate_].id, now);
  chunks_ = Split(*records_->Find(owners_.back()));
}

void HandoverSender::EndSet(TimePoint /*now*/) {
  owners_.pop_back();
  chunks_.clear();
  chunk_ = 0;
  commit_sent_ = false;
  lost_ = 0;
  restarts_ = 0;
}

std::optional<HandoverSender::Outgoing> HandoverSender::Next(TimePoint now) {
  if (owners_.empty() || candidate_ >= candidates_.size()) {
    return std::nullopt;
  }
  const OwnerIncarnation& owner = owners_.back();
  if (records_->Find(owner)->handed_to() != candidates_[candidate_].id) {
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
    handed_[owner] = to.id;
  } else {
    message.records = chunks_[chunk_];
  }
  return Outgoing{to, std::move(message)};
}

void HandoverSender::NextCandidate(TimePoint /*now*/) {
  handed_.erase(owners_.back());
  ++candidate_;
  chunk_ = 0;
  commit_sent_ = false;
  lost_ = 0;
  restarts_ = 0;
}

void HandoverSender::OnReply(HandoverReply reply, TimePoint now) {
  lost_ = 0;
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
      // A delayed copy of the commit may still complete what was staged.
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
  ++lost_;
  if (commit_sent_) {
    if (lost_ >= kMaxLostCommits) {
      EndSet(now);
    }
  } else if (lost_ >= kMaxLostChunks) {
    NextCandidate(now);
  }
}

}  // namespace dragonflytack
