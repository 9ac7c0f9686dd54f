#include "calls/wait_queue.h"

#include <vector>

#include <criterion/criterion.h>

namespace dragonflytack {

namespace {

TimePoint At(int ms) {
  return TimePoint() + Milliseconds(ms);
}

QueuePriority Terms(int objective_ms, int deadline_ms, int rank = 0) {
  return {At(objective_ms), At(deadline_ms), rank};
}

}  // namespace

// Guards against calls that overtake ones with an earlier deadline, and against
// removed calls that are run.
Test(wait_queue, orders_by_deadline_then_arrival) {
  WaitQueue<int> queue;
  int items[4] = {0, 1, 2, 3};
  const int deadlines[4] = {30, 10, 20, 10};
  for (int i = 0; i < 4; ++i) {
    queue.Push(Terms(deadlines[i], deadlines[i]), At(0), &items[i]);
  }
  cr_expect_eq(queue.CountAhead(Terms(10, 10), At(0)), 2);
  cr_expect_eq(queue.CountAhead(Terms(9, 9), At(0)), 0);
  cr_expect_eq(queue.CountAhead(Terms(99, 99), At(0)), 4);
  cr_expect(queue.Remove(&items[2]));
  cr_expect(!queue.Remove(&items[2]));
  cr_expect(*queue.EarliestDeadline() == At(10));
  for (const int expected : {1, 3, 0}) {
    cr_expect_eq(*queue.Pop(At(0)), expected);
  }
  cr_expect(queue.Pop(At(0)) == nullptr && queue.empty());
}

// Guards against an overload in which the oldest calls are run first and every
// answer comes after its objective.
Test(wait_queue, calls_that_can_meet_their_objective_come_first) {
  WaitQueue<int> queue;
  int items[4] = {0, 1, 2, 3};
  queue.Push(Terms(100, 300), At(0), &items[0]);
  queue.Push(Terms(120, 250), At(0), &items[1]);
  queue.Push(Terms(200, 800), At(0), &items[2]);
  // The first two have missed theirs, so a new one waits behind the third only.
  cr_expect_eq(queue.CountAhead(Terms(400, 900), At(150)), 1);
  // One that has missed its own waits behind those with an earlier deadline.
  cr_expect_eq(queue.CountAhead(Terms(100, 280), At(150)), 2);
  queue.Push(Terms(400, 900), At(150), &items[3]);
  for (const int expected : {2, 3, 1, 0}) {
    cr_expect_eq(*queue.Pop(At(150)), expected);
  }
}

// Guards against a less urgent call that is served before a more urgent one
// that came at the same time, and against starving the less urgent ones.
Test(wait_queue, urgent_calls_overtake_within_limits) {
  WaitQueue<int> queue;
  int items[3] = {0, 1, 2};
  queue.Push(Terms(200, 800, 2), At(0), &items[0]);
  queue.Push(Terms(210, 800, 0), At(0), &items[1]);
  queue.Push(Terms(400, 800, 0), At(0), &items[2]);
  for (const int expected : {1, 0, 2}) {
    cr_expect_eq(*queue.Pop(At(0)), expected);
  }
  // A rank does not keep a call on time that is late.
  queue.Push(Terms(100, 300, 3), At(0), &items[0]);
  queue.Push(Terms(260, 400, 0), At(0), &items[1]);
  cr_expect_eq(*queue.Pop(At(150)), 1);
  cr_expect_eq(*queue.Pop(At(150)), 0);
}

// Guards against a full queue that refuses a call although one that comes after
// it waits there.
Test(wait_queue, the_last_makes_room_for_one_that_comes_before) {
  WaitQueue<int> queue;
  int items[2] = {0, 1};
  queue.Push(Terms(100, 300), At(0), &items[0]);
  queue.Push(Terms(200, 800), At(0), &items[1]);
  cr_expect(queue.PopBehind(Terms(250, 800), At(0)) == nullptr);
  cr_expect_eq(*queue.PopBehind(Terms(150, 900), At(0)), 1);
  // At 150 ms the one that is left has missed its objective.
  cr_expect_eq(*queue.PopBehind(Terms(500, 900), At(150)), 0);
  cr_expect(queue.empty());
}

// Guards against calls that wait beyond their deadline because others come
// before them.
Test(wait_queue, expired_calls_are_found_wherever_they_stand) {
  WaitQueue<int> queue;
  int items[2] = {0, 1};
  queue.Push(Terms(100, 300), At(150), &items[0]);
  queue.Push(Terms(200, 800), At(150), &items[1]);
  cr_expect(queue.PopExpired(At(299)) == nullptr);
  cr_expect_eq(*queue.PopExpired(At(300)), 0);
  cr_expect(*queue.EarliestDeadline() == At(800));
}

}  // namespace dragonflytack
