#include "onetime/one_time_records.h"

#include <algorithm>
#include <utility>

#include "dragonflytack/base/hash.h"
#include "onetime/recorded_response.h"

namespace dragonflytack {

namespace {

// Bounds the time for which one sweep blocks the event loop of the call task.
constexpr int kMaxSweepEntries = 2'000;

BeginDecision Refuse(NotRunScope scope, BeginReason reason) {
  return {
      .kind = BeginDecision::Kind::kNotRun, .reason = reason, .scope = scope};
}

BeginDecision Unknown(BeginReason reason) {
  return {.kind = BeginDecision::Kind::kUnknown, .reason = reason};
}

BeginDecision FromRecord(const Record& record) {
  switch (record.state) {
    case RecordState::kDispatched:
      return {.kind = BeginDecision::Kind::kWait, .attempt = record.attempt};
    case RecordState::kDone:
      return {.kind = BeginDecision::Kind::kDone,
              .reason = record.response == nullptr
                            ? BeginReason::kResponseNotKept
                            : BeginReason::kNone,
              .attempt = record.attempt,
              .response = record.response};
    case RecordState::kNotRun:
      return Refuse(NotRunScope::kKey, BeginReason::kRefusedByTargets);
    case RecordState::kUnknown:
      return Unknown(BeginReason::kResponseLost);
  }
  return Unknown(BeginReason::kResponseLost);
}

OwnerIncarnation OwnerOf(const OneTimeKey& key) {
  return {key.owner, key.incarnation};
}

}  // namespace

OneTimeRecords::OneTimeRecords(NodeId self,
                               uint64_t incarnation,
                               int64_t wall_ms,
                               TimePoint now,
                               RecordLimits limits)
    : self_(std::move(self)), incarnation_(incarnation), limits_(limits) {
  own_ = &sets_
              .emplace(OwnerIncarnation(self_, incarnation_),
                       RecordSet(wall_ms, now))
              .first->second;
}

OneTimeKey OneTimeRecords::NewKey(TimePoint now, Milliseconds lifetime) const {
  return {self_, incarnation_, own_->TimeMs(now) + lifetime.count(),
          RandomHex(OneTimeKey::kIdDigits / 2)};
}

BeginDecision OneTimeRecords::Begin(const OneTimeKey& key,
                                    uint64_t request_digest,
                                    TimePoint now) {
  const auto it = sets_.find(OwnerOf(key));
  if (it == sets_.end()) {
    return Unknown(BeginReason::kOwnerGone);
  }
  RecordSet* set = &it->second;
  if (!set->handed_over_to().empty()) {
    return {.kind = BeginDecision::Kind::kForward,
            .forward_to = set->handed_over_to()};
  }
  const Record* record = set->Find(RecordId::FromDigits(key.id));
  if (record == nullptr) {
    return BeginNew(key, request_digest, now, set);
  }
  if (record->request_digest != request_digest) {
    return Refuse(NotRunScope::kRequest, BeginReason::kKeyReused);
  }
  return FromRecord(*record);
}

BeginDecision OneTimeRecords::BeginNew(const OneTimeKey& key,
                                       uint64_t request_digest,
                                       TimePoint now,
                                       RecordSet* set) {
  const int64_t time_ms = set->TimeMs(now);
  if (key.expiry_ms <= time_ms) {
    return Unknown(BeginReason::kExpired);
  }
  if (draining_) {
    return Refuse(NotRunScope::kRequest, BeginReason::kDraining);
  }
  const bool full = records_ >= limits_.max_records ||
                    response_bytes_ >= limits_.max_response_bytes;
  if (full && records_ >= limits_.MaxWithRefusals()) {
    return Unknown(BeginReason::kRecordsFull);
  }
  Record record{.request_digest = request_digest, .expiry_ms = key.expiry_ms};
  if (full) {
    record.state = RecordState::kNotRun;
    record.finished_ms = time_ms;
  }
  set->Add(RecordId::FromDigits(key.id), std::move(record),
           std::min(key.expiry_ms, time_ms + limits_.retention.count()));
  ++records_;
  if (full) {
    return Refuse(NotRunScope::kKey, BeginReason::kRecordsFull);
  }
  ++dispatched_;
  return {.kind = BeginDecision::Kind::kDispatch, .attempt = 1};
}

Record* OneTimeRecords::FindUnresolved(const OneTimeKey& key,
                                       uint32_t attempt) {
  const auto it = sets_.find(OwnerOf(key));
  if (it == sets_.end() || !it->second.handed_over_to().empty()) {
    return nullptr;
  }
  Record* record = it->second.Find(RecordId::FromDigits(key.id));
  if (record == nullptr || record->attempt != attempt ||
      (record->state != RecordState::kDispatched &&
       record->state != RecordState::kUnknown)) {
    return nullptr;
  }
  return record;
}

bool OneTimeRecords::Finish(const OneTimeKey& key,
                            uint32_t attempt,
                            RecordState state,
                            TimePoint now) {
  Record* record = FindUnresolved(key, attempt);
  if (record == nullptr || record->state == state) {
    return false;
  }
  if (record->state == RecordState::kDispatched) {
    --dispatched_;
  }
  record->state = state;
  record->finished_ms = sets_.at(OwnerOf(key)).TimeMs(now);
  return true;
}

bool OneTimeRecords::FinishDone(
    const OneTimeKey& key,
    uint32_t attempt,
    std::shared_ptr<const RecordedResponse> response,
    TimePoint now) {
  if (!Finish(key, attempt, RecordState::kDone, now)) {
    return false;
  }
  const size_t bytes = response == nullptr ? 0 : response->Bytes();
  if (bytes <= limits_.max_one_response_bytes &&
      response_bytes_ + bytes <= limits_.max_response_bytes) {
    response_bytes_ += bytes;
    sets_.at(OwnerOf(key)).Find(RecordId::FromDigits(key.id))->response =
        std::move(response);
  }
  return true;
}

bool OneTimeRecords::FinishNotRun(const OneTimeKey& key,
                                  uint32_t attempt,
                                  TimePoint now) {
  return Finish(key, attempt, RecordState::kNotRun, now);
}

bool OneTimeRecords::FinishUnknown(const OneTimeKey& key,
                                   uint32_t attempt,
                                   TimePoint now) {
  return Finish(key, attempt, RecordState::kUnknown, now);
}

std::optional<uint32_t> OneTimeRecords::Retry(const OneTimeKey& key,
                                              uint32_t attempt) {
  Record* record = FindUnresolved(key, attempt);
  if (record == nullptr || record->state != RecordState::kDispatched) {
    return std::nullopt;
  }
  return ++record->attempt;
}

BeginDecision OneTimeRecords::RecordedDecision(const OneTimeKey& key) {
  const auto it = sets_.find(OwnerOf(key));
  if (it == sets_.end()) {
    return Unknown(BeginReason::kOwnerGone);
  }
  if (!it->second.handed_over_to().empty()) {
    return {.kind = BeginDecision::Kind::kForward,
            .forward_to = it->second.handed_over_to()};
  }
  const Record* record = it->second.Find(RecordId::FromDigits(key.id));
  return record == nullptr ? Unknown(BeginReason::kExpired)
                           : FromRecord(*record);
}

void OneTimeRecords::Sweep(TimePoint now) {
  for (auto& [owner, set] : sets_) {
    // The chunks of a set that is being handed over must not change.
    if (!set.handed_over_to().empty()) {
      continue;
    }
    const size_t before = set.records().size();
    set.Sweep(now, limits_.retention, kMaxSweepEntries,
              [this](size_t bytes) { response_bytes_ -= bytes; });
    records_ -= before - set.records().size();
  }
}

void OneTimeRecords::HandOverTo(const OwnerIncarnation& owner,
                                const NodeId& successor,
                                TimePoint now) {
  RecordSet& set = sets_.at(owner);
  set.set_handed_over_to(successor);
  const int64_t time_ms = set.TimeMs(now);
  for (auto& [id, record] : set.mutable_records()) {
    if (record.state == RecordState::kDispatched) {
      record.state = RecordState::kUnknown;
      record.finished_ms = time_ms;
      --dispatched_;
    }
  }
}

bool OneTimeRecords::Install(const OwnerIncarnation& owner, RecordSet set) {
  if (draining_ || HasRecordsOf(owner)) {
    return false;
  }
  records_ += set.records().size();
  for (const auto& [id, record] : set.records()) {
    response_bytes_ +=
        record.response == nullptr ? 0 : record.response->Bytes();
  }
  sets_.emplace(owner, std::move(set));
  return true;
}

std::vector<OwnerIncarnation> OneTimeRecords::ServedOwners() const {
  std::vector<OwnerIncarnation> owners;
  for (const auto& [owner, set] : sets_) {
    if (set.handed_over_to().empty()) {
      owners.push_back(owner);
    }
  }
  return owners;
}

const RecordSet* OneTimeRecords::Find(const OwnerIncarnation& owner) const {
  const auto it = sets_.find(owner);
  return it == sets_.end() ? nullptr : &it->second;
}

}  // namespace dragonflytack
