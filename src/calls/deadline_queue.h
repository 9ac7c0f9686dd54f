#ifndef DRAGONFLYTACK_SRC_CALLS_DEADLINE_QUEUE_H_
#define DRAGONFLYTACK_SRC_CALLS_DEADLINE_QUEUE_H_

#include <cstddef>
#include <iterator>
#include <map>
#include <optional>

#include "dragonflytack/base/clock.h"

namespace dragonflytack {

// Waiting calls, the earliest deadline first and in order of arrival where
// deadlines are equal. The items stay with their owner.
template <typename Item>
class DeadlineQueue final {
 public:
  size_t size() const { return items_.size(); }
  bool empty() const { return items_.empty(); }

  // Number of items that a new one with this deadline would wait behind.
  size_t CountAhead(TimePoint deadline) const {
    if (items_.empty() || std::prev(items_.end())->first <= deadline) {
      return items_.size();
    }
    return std::distance(items_.begin(), items_.upper_bound(deadline));
  }

  void Push(TimePoint deadline, Item* item) { items_.emplace(deadline, item); }

  // Removes an item. Returns whether it was in the queue.
  bool Remove(TimePoint deadline, Item* item) {
    const auto [first, last] = items_.equal_range(deadline);
    for (auto entry = first; entry != last; ++entry) {
      if (entry->second == item) {
        items_.erase(entry);
        return true;
      }
    }
    return false;
  }

  std::optional<TimePoint> EarliestDeadline() const {
    return items_.empty() ? std::nullopt
                          : std::optional<TimePoint>(items_.begin()->first);
  }

  // Takes the item with the earliest deadline, null when the queue is empty.
  Item* Pop() {
    if (items_.empty()) {
      return nullptr;
    }
    Item* item = items_.begin()->second;
    items_.erase(items_.begin());
    return item;
  }

 private:
  std::multimap<TimePoint, Item*> items_;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_CALLS_DEADLINE_QUEUE_H_
