#include "onetime/record_set.h"

#include <algorithm>

#include "onetime/recorded_response.h"

namespace dragonflytack {

namespace {

// A dispatched record is never dropped; it is checked again after this time.
constexpr int64_t kRecheckMs = 1'000;

}  // namespace

int64_t RecordSet::TimeMs(TimePoint now) const {
  return base_ms_ +
         std::chrono::duration_cast<Milliseconds>(now - base_time_).count();
}

Record* RecordSet::Find(const RecordId& id) {
  const auto it = records_.find(id);
  return it == records_.end() ? nullptr : &it->second;
}

Record* RecordSet::Add(const RecordId& id, Record record, int64_t due_ms) {
  due_queue_.emplace(due_ms, id);
  return &records_.emplace(id, std::move(record)).first->second;
}

void RecordSet::Sweep(TimePoint now,
                      Milliseconds retention,
                      int max_entries,
                      const std::function<void(size_t bytes)>& on_released) {
  const int64_t time_ms = TimeMs(now);
  while (max_entries-- > 0 && !due_queue_.empty() &&
         due_queue_.top().first <= time_ms) {
    const RecordId id = due_queue_.top().second;
    due_queue_.pop();
    Record& record = records_.at(id);
    if (record.state == RecordState::kDispatched) {
      due_queue_.emplace(time_ms + kRecheckMs, id);
      continue;
    }
    const int64_t retained_until = record.finished_ms + retention.count();
    if (retained_until <= time_ms && record.response != nullptr) {
      on_released(record.response->Bytes());
      record.response = nullptr;
    }
    if (retained_until <= time_ms && record.expiry_ms <= time_ms) {
      records_.erase(id);
    } else {
      due_queue_.emplace(
          retained_until <= time_ms ? record.expiry_ms : retained_until, id);
    }
  }
}

}  // namespace dragonflytack
