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

// The records of the keys of one (home, incarnation) and the clock that their
// expiry is measured by. The clock starts at the home's wall clock and then
// follows a monotonic one; a successor continues it from the time that the home
// sent. So it never goes back, whatever the wall clocks of the hosts do, and a
// key whose record was dropped as expired stays expired.
class RecordSet final {
 public:
  using Map = std::unordered_map<RecordId, Record, RecordId::Hasher>;

  RecordSet(int64_t time_ms, TimePoint now)
      : base_ms_(time_ms), base_point_(now) {}

  int64_t TimeMs(TimePoint now) const;

  // Returns the record of a key, null when there is none.
  Record* Find(const RecordId& id);

  // Adds a record that Find() did not return.
  Record* Add(const RecordId& id, Record record, int64_t due_ms);

  // Looks at up to `max_work` records whose time has come: releases answers
  // after `retention` and drops records that are both expired and past
  // `retention`. `on_released` gets the bytes of each released answer.
  void Sweep(TimePoint now,
             Milliseconds retention,
             int max_work,
             const std::function<void(size_t bytes)>& on_released);

  const Map& records() const { return records_; }
  Map& mutable_records() { return records_; }

  // The node that answers for these records; empty while it is this one.
  const NodeId& handed_to() const { return handed_to_; }
  void set_handed_to(const NodeId& node) { handed_to_ = node; }

 private:
  using Due = std::pair<int64_t, RecordId>;

  int64_t base_ms_;
  TimePoint base_point_;
  Map records_;
  // Holds one entry for each record.
  std::priority_queue<Due, std::vector<Due>, std::greater<>> due_;
  NodeId handed_to_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_ONETIME_RECORD_SET_H_
