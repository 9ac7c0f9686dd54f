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

// What decides when a waiting call is run.
struct QueuePriority final {
  // Until when an answer serves the caller fully, and until when at all.
  TimePoint objective;
  TimePoint deadline;
  // Urgency; 0 is the most urgent.
  int rank = 0;
};

// Waiting calls. Those that can still be answered within their objective come
// before the others: under overload, serving the oldest first makes all of them
// late. Within both groups the earlier time comes first, where a rank counts
// like kRankStep; equal ones are in order of arrival. The items stay with their
// owner.
template <typename Item>
class WaitQueue final {
 public:
  // About the length of a usual call: a more urgent call overtakes those that
  // would be run just before it, and the others are not starved.
  static constexpr Milliseconds kRankStep{50};

  size_t size() const { return order_.size(); }
  bool empty() const { return order_.empty(); }

  // Number of items that a new one would wait behind. An answer to a call that
  // is run now comes at `useful`.
  size_t CountAhead(const QueuePriority& terms, TimePoint useful) {
    MoveLate(useful);
    return static_cast<size_t>(std::distance(
        order_.begin(), order_.upper_bound(KeyOf(terms, useful, next_))));
  }

  void Push(const QueuePriority& terms, TimePoint useful, Item* item) {
    const Place place{KeyOf(terms, useful, next_), terms, next_};
    ++next_;
    order_.emplace(place.key, item);
    deadlines_.emplace(std::pair(terms.deadline, place.arrival), item);
    if (!IsLate(place.key)) {
      objectives_.emplace(std::pair(terms.objective, place.arrival), item);
    }
    places_.emplace(item, place);
  }

  // Removes an item. Returns whether it was in the queue.
  bool Remove(Item* item) {
    const auto place = places_.find(item);
    if (place == places_.end()) {
      return false;
    }
    const Place& known = place->second;
    order_.erase(known.key);
    deadlines_.erase(std::pair(known.terms.deadline, known.arrival));
    objectives_.erase(std::pair(known.terms.objective, known.arrival));
    places_.erase(place);
    return true;
  }

  std::optional<TimePoint> EarliestDeadline() const {
    return deadlines_.empty()
               ? std::nullopt
               : std::optional<TimePoint>(deadlines_.begin()->first.first);
  }

  // Takes an item whose deadline is not after `useful`, null when there is
  // none.
  Item* PopExpired(TimePoint useful) {
    if (deadlines_.empty() || deadlines_.begin()->first.first > useful) {
      return nullptr;
    }
    Item* item = deadlines_.begin()->second;
    Remove(item);
    return item;
  }

  // Takes the item that is to be run next, null when the queue is empty.
  Item* Pop(TimePoint useful) {
    MoveLate(useful);
    if (order_.empty()) {
      return nullptr;
    }
    Item* item = order_.begin()->second;
    Remove(item);
    return item;
  }

  // Takes the last item if a new one would come before it, else null.
  Item* PopBehind(const QueuePriority& terms, TimePoint useful) {
    MoveLate(useful);
    if (order_.empty() ||
        std::prev(order_.end())->first < KeyOf(terms, useful, next_)) {
      return nullptr;
    }
    Item* item = std::prev(order_.end())->second;
    Remove(item);
    return item;
  }

 private:
  // Whether the objective is missed, the time that counts, order of arrival.
  using Key = std::tuple<bool, TimePoint, uint64_t>;
  struct Place {
    Key key;
    QueuePriority terms;
    uint64_t arrival = 0;
  };
  using ByTime = std::map<std::pair<TimePoint, uint64_t>, Item*>;

  static bool IsLate(const Key& key) { return std::get<bool>(key); }

  static Key KeyOf(const QueuePriority& terms,
                   TimePoint useful,
                   uint64_t arrival) {
    const bool late = terms.objective < useful;
    return {late,
            (late ? terms.deadline : terms.objective) + terms.rank * kRankStep,
            arrival};
  }

  // Puts those that can no longer meet their objective behind the others.
  void MoveLate(TimePoint useful) {
    while (!objectives_.empty() && objectives_.begin()->first.first < useful) {
      Item* const item = objectives_.begin()->second;
      objectives_.erase(objectives_.begin());
      Place& place = places_.at(item);
      order_.erase(place.key);
      place.key = KeyOf(place.terms, useful, place.arrival);
      order_.emplace(place.key, item);
    }
  }

  std::map<Key, Item*> order_;
  ByTime deadlines_;
  // Those that can still meet their objective.
  ByTime objectives_;
  std::unordered_map<Item*, Place> places_;
  uint64_t next_ = 0;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_CALLS_WAIT_QUEUE_H_
