#ifndef DRAGONFLYTACK_SRC_CALLS_WAIT_QUEUE_H_
#define DRAGONFLYTACK_SRC_CALLS_WAIT_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <iterator>
#include <map>
#include <optional>
#include <tuple>
#include <unordered_map>
#include <utility>

#include "dragonflytack/base/clock.h"

namespace dragonflytack {

// Determines the order in which waiting calls are started.
struct QueuePriority final {
  // Latest start at which the call is expected to meet its latency objective. A
  // later response is still usable until the deadline.
  TimePoint objective;
  // Latest start at which the call is expected to meet its deadline.
  TimePoint deadline;
  // Urgency; 0 is the most urgent.
  int rank = 0;
};

// Queue of calls waiting for a slot. Calls that can still meet their latency
// objective come before the others: under overload, serving the oldest first
// would make all of them late. The first group is ordered by objective, the
// second by deadline; each step of rank adds kRankStep to that time. Ties are
// in order of arrival. The queue does not own its items.
template <typename Item>
class WaitQueue final {
 public:
  // About the run time of a typical call: a more urgent call overtakes those
  // that would be started just before it, without starving the others.
  static constexpr Milliseconds kRankStep{50};

  size_t size() const { return order_.size(); }
  bool empty() const { return order_.empty(); }

  // Returns the number of items ahead of a new one with the given priority.
  size_t CountAhead(const QueuePriority& priority, TimePoint now) {
    DemoteLate(now);
    return static_cast<size_t>(
        std::distance(order_.begin(),
                      order_.upper_bound(KeyOf(priority, now, next_arrival_))));
  }

  void Push(const QueuePriority& priority, TimePoint now, Item* item) {
    const Entry entry{KeyOf(priority, now, next_arrival_), priority,
                      next_arrival_};
    ++next_arrival_;
    order_.emplace(entry.key, item);
    deadlines_.emplace(std::pair(priority.deadline, entry.arrival), item);
    if (!IsLate(entry.key)) {
      objectives_.emplace(std::pair(priority.objective, entry.arrival), item);
    }
    entries_.emplace(item, entry);
  }

  // Removes an item. Returns false if it was not in the queue.
  bool Remove(Item* item) {
    const auto found = entries_.find(item);
    if (found == entries_.end()) {
      return false;
    }
    const Entry& entry = found->second;
    order_.erase(entry.key);
    deadlines_.erase(std::pair(entry.priority.deadline, entry.arrival));
    objectives_.erase(std::pair(entry.priority.objective, entry.arrival));
    entries_.erase(found);
    return true;
  }

  std::optional<TimePoint> EarliestDeadline() const {
    return deadlines_.empty()
               ? std::nullopt
               : std::optional<TimePoint>(deadlines_.begin()->first.first);
  }

  // Removes and returns an item whose deadline is not after `now`, null if
  // there is none.
  Item* PopExpired(TimePoint now) {
    if (deadlines_.empty() || deadlines_.begin()->first.first > now) {
      return nullptr;
    }
    Item* item = deadlines_.begin()->second;
    Remove(item);
    return item;
  }

  // Removes and returns the item to start next, null if the queue is empty.
  Item* Pop(TimePoint now) {
    DemoteLate(now);
    if (order_.empty()) {
      return nullptr;
    }
    Item* item = order_.begin()->second;
    Remove(item);
    return item;
  }

  // Removes and returns the item that would be started last, null if the queue
  // is empty.
  Item* PopLast(TimePoint now) {
    DemoteLate(now);
    if (order_.empty()) {
      return nullptr;
    }
    Item* item = std::prev(order_.end())->second;
    Remove(item);
    return item;
  }

  // Removes and returns the last item if a new one with the given priority
  // would come before it, otherwise null.
  Item* PopLastIfBehind(const QueuePriority& priority, TimePoint now) {
    DemoteLate(now);
    if (order_.empty() ||
        std::prev(order_.end())->first < KeyOf(priority, now, next_arrival_)) {
      return nullptr;
    }
    return PopLast(now);
  }

  // Removes and returns the last item if it has missed its objective and
  // `is_hopeless` returns true for its priority, otherwise null.
  template <typename Predicate>
  Item* PopLateIf(TimePoint now, const Predicate& is_hopeless) {
    DemoteLate(now);
    if (order_.empty()) {
      return nullptr;
    }
    const auto& [key, item] = *std::prev(order_.end());
    if (!IsLate(key) || !is_hopeless(entries_.at(item).priority)) {
      return nullptr;
    }
    Item* const last = item;
    Remove(last);
    return last;
  }

 private:
  // Whether the objective is missed; objective or deadline, adjusted by rank;
  // sequence number of arrival.
  using Key = std::tuple<bool, TimePoint, uint64_t>;
  struct Entry {
    Key key;
    QueuePriority priority;
    uint64_t arrival = 0;
  };
  using ByTime = std::map<std::pair<TimePoint, uint64_t>, Item*>;

  static bool IsLate(const Key& key) { return std::get<bool>(key); }

  static Key KeyOf(const QueuePriority& priority,
                   TimePoint now,
                   uint64_t arrival) {
    const bool is_late = priority.objective < now;
    return {is_late,
            (is_late ? priority.deadline : priority.objective) +
                priority.rank * kRankStep,
            arrival};
  }

  // Moves items that can no longer meet their objective behind the others.
  void DemoteLate(TimePoint now) {
    while (!objectives_.empty() && objectives_.begin()->first.first < now) {
      Item* const item = objectives_.begin()->second;
      objectives_.erase(objectives_.begin());
      Entry& entry = entries_.at(item);
      order_.erase(entry.key);
      entry.key = KeyOf(entry.priority, now, entry.arrival);
      order_.emplace(entry.key, item);
    }
  }

  std::map<Key, Item*> order_;
  ByTime deadlines_;
  // Only items that can still meet their objective.
  ByTime objectives_;
  std::unordered_map<Item*, Entry> entries_;
  uint64_t next_arrival_ = 0;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_CALLS_WAIT_QUEUE_H_
