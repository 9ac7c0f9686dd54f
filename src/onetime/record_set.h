#ifndef DRAGONFLYTACK_ONETIME_RECORD_SET_H_
#define DRAGONFLYTACK_ONETIME_RECORD_SET_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <unordered_map>
#include <utility>
#include <vector>

#include "dragonflytack/base/clock.h"
#include "dragonflytack/registry/node_id.h"
#include "onetime/record.h"
#include "onetime/record_id.h"

namespace dragonflytack {

// The records of the keys of one (owner, incarnation) and the clock that their
// expiry is measured with. The clock starts at the owner's wall clock time and
// then follows a monotonic clock; a successor continues it from the time in the
// commit of the handover. So it never goes back, independently of the wall
// clocks of the hosts, and a key whose record was dropped as expired stays
// expired.
class RecordSet final {
 public:
  using Map = std::unordered_map<RecordId, Record, RecordId::Hasher>;

  RecordSet(int64_t time_ms, TimePoint now)
      : base_ms_(time_ms), base_time_(now) {}

  int64_t TimeMs(TimePoint now) const;

  // Returns the record of a key, or null if there is none.
  Record* Find(const RecordId& id);

  // Adds a record for an id that has none. Sweep() first checks it at `due_ms`.
  Record* Add(const RecordId& id, Record record, int64_t due_ms);

  // Checks up to `max_entries` records that are due: releases responses after
  // `retention` and drops records that are both expired and past `retention`.
  // Calls `on_released` with the size of each released response.
  void Sweep(TimePoint now,
             Milliseconds retention,
             int max_entries,
             const std::function<void(size_t bytes)>& on_released);

  const Map& records() const { return records_; }
  Map& mutable_records() { return records_; }

  // The node that these records are handed over to; empty while this process
  // serves them.
  const NodeId& handed_over_to() const { return handed_over_to_; }
  void set_handed_over_to(const NodeId& node) { handed_over_to_ = node; }

 private:
  using DueEntry = std::pair<int64_t, RecordId>;

  int64_t base_ms_;
  TimePoint base_time_;
  Map records_;
  // Contains one entry for each record.
  std::priority_queue<DueEntry, std::vector<DueEntry>, std::greater<>>
      due_queue_;
  NodeId handed_over_to_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_ONETIME_RECORD_SET_H_
