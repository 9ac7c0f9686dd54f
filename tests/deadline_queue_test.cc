#include "calls/deadline_queue.h"

#include <criterion/criterion.h>

namespace dragonflytack {

// Guards against calls that overtake ones with an earlier deadline, and against
// removed calls that are run.
Test(deadline_queue, orders_by_deadline_then_arrival) {
  DeadlineQueue<int> queue;
  const TimePoint start{};
  int items[4] = {0, 1, 2, 3};
  const int deadlines[4] = {30, 10, 20, 10};
  for (int i = 0; i < 4; ++i) {
    queue.Push(start + Milliseconds(deadlines[i]), &items[i]);
  }
  cr_expect_eq(queue.CountAhead(start + Milliseconds(10)), 2);
  cr_expect_eq(queue.CountAhead(start + Milliseconds(9)), 0);
  cr_expect_eq(queue.CountAhead(start + Milliseconds(99)), 4);
  cr_expect(queue.Remove(start + Milliseconds(20), &items[2]));
  cr_expect(!queue.Remove(start + Milliseconds(20), &items[2]));
  cr_expect(*queue.EarliestDeadline() == start + Milliseconds(10));
  for (const int expected : {1, 3, 0}) {
    cr_expect_eq(*queue.Pop(), expected);
  }
  cr_expect(queue.Pop() == nullptr && queue.empty());
}

}  // namespace dragonflytack
