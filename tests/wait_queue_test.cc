#include "calls/wait_queue.h"

#include <vector>

#include <criterion/criterion.h>

namespace dragonflytack {

namespace {

TimePoint At(int ms) {
  return TimePoint() + Milliseconds(ms);
}

QueuePriority MakePriority(int objective_ms, int deadline_ms, int rank = 0) {
  return {At(objective_ms), At(deadline_ms), rank};
}

}  // namespace

// Guards against calls that overtake ones with an earlier deadline, and against
// removed calls that are started.
Test(wait_queue, orders_by_deadline_then_arrival) {
  WaitQueue<int> queue;
  int items[4] = {0, 1, 2, 3};
  const int deadlines[4] = {30, 10, 20, 10};
  for (int i = 0; i < 4; ++i) {
    queue.Push(MakePriority(deadlines[i], deadlines[i]), At(0), &items[i]);
  }
  cr_expect_eq(queue.CountAhead(MakePriority(10, 10), At(0)), 2);
  cr_expect_eq(queue.CountAhead(MakePriority(9, 9), At(0)), 0);
  cr_expect_eq(queue.CountAhead(MakePriority(99, 99), At(0)), 4);
  cr_expect(queue.Remove(&items[2]));
  cr_expect(!queue.Remove(&items[2]));
  cr_expect(*queue.EarliestDeadline() == At(10));
  for (const int expected : {1, 3, 0}) {
    cr_expect_eq(*queue.Pop(At(0)), expected);
  }
  cr_expect(queue.Pop(At(0)) == nullptr && queue.empty());
}

// Guards against an overload in which the oldest calls are started first and
// every response comes after its objective.
Test(wait_queue, calls_that_can_meet_their_objective_come_first) {
  WaitQueue<int> queue;
  int items[4] = {0, 1, 2, 3};
  queue.Push(MakePriority(100, 300), At(0), &items[0]);
  queue.Push(MakePriority(120, 250), At(0), &items[1]);
  queue.Push(MakePriority(200, 800), At(0), &items[2]);
  // The first two have missed their objectives, so a new call waits behind the
  // third only.
  cr_expect_eq(queue.CountAhead(MakePriority(400, 900), At(150)), 1);
  // A call that has missed its objective waits behind late calls with an
  // earlier deadline.
  cr_expect_eq(queue.CountAhead(MakePriority(100, 280), At(150)), 2);
  queue.Push(MakePriority(400, 900), At(150), &items[3]);
  for (const int expected : {2, 3, 1, 0}) {
    cr_expect_eq(*queue.Pop(At(150)), expected);
  }
}

// Guards against a less urgent call that is started before a more urgent one
// that arrived at about the same time, and against starving the less urgent
// ones.
Test(wait_queue, urgent_calls_overtake_within_the_rank_step) {
  WaitQueue<int> queue;
  int items[3] = {0, 1, 2};
  queue.Push(MakePriority(200, 800, 2), At(0), &items[0]);
  queue.Push(MakePriority(210, 800, 0), At(0), &items[1]);
  queue.Push(MakePriority(400, 800, 0), At(0), &items[2]);
  for (const int expected : {1, 0, 2}) {
    cr_expect_eq(*queue.Pop(At(0)), expected);
  }
  // A late call comes last, whatever its rank.
  queue.Push(MakePriority(100, 300, 3), At(0), &items[0]);
  queue.Push(MakePriority(260, 400, 0), At(0), &items[1]);
  cr_expect_eq(*queue.Pop(At(150)), 1);
  cr_expect_eq(*queue.Pop(At(150)), 0);
}

// Guards against a full queue that refuses a call although a call of lower
// priority waits there.
Test(wait_queue, last_call_makes_room_for_one_of_higher_priority) {
  WaitQueue<int> queue;
  int items[2] = {0, 1};
  queue.Push(MakePriority(100, 300), At(0), &items[0]);
  queue.Push(MakePriority(200, 800), At(0), &items[1]);
  cr_expect(queue.PopLastIfBehind(MakePriority(250, 800), At(0)) == nullptr);
  cr_expect_eq(*queue.PopLastIfBehind(MakePriority(150, 900), At(0)), 1);
  // At 150 ms the remaining call has missed its objective.
  cr_expect_eq(*queue.PopLastIfBehind(MakePriority(500, 900), At(150)), 0);
  cr_expect(queue.empty());
}

// Guards against calls that wait beyond their deadline because others come
// before them.
Test(wait_queue, expired_calls_are_popped_at_any_position) {
  WaitQueue<int> queue;
  int items[2] = {0, 1};
  queue.Push(MakePriority(100, 300), At(150), &items[0]);
  queue.Push(MakePriority(200, 800), At(150), &items[1]);
  cr_expect(queue.PopExpired(At(299)) == nullptr);
  cr_expect_eq(*queue.PopExpired(At(300)), 0);
  cr_expect(*queue.EarliestDeadline() == At(800));
}

}  // namespace dragonflytack
