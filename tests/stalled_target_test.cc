// Calls that wait beside a target that accepts calls and responds to none.

#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include <criterion/criterion.h>

#include "call_fixture.h"

namespace dragonflytack {

// Guards against waiting calls that take the slots of a target which hangs and
// are lost with it, although another target could still serve them: they must
// be refused as not run while the calls that the target runs are pending.
Test(stalled_target, waiting_calls_are_refused_as_not_run) {
  constexpr int kSlots = 3;
  constexpr int kWaiting = 4;
  ServiceRow row = Row(ServiceKind::kOneTime);
  row.slots = kSlots;
  row.retry_limit = 0;
  CallFixture fixture(1, row);
  std::atomic<bool> hangs = false;
  std::atomic<int> received = 0;
  ScriptedTarget target(fixture.Address(1), CallFixture::kTargetPort,
                        [&](int fd, const std::string& head, int n) {
                          ++received;
                          while (hangs) {
                            std::this_thread::sleep_for(Milliseconds(1));
                          }
                          std::this_thread::sleep_for(Milliseconds(20));
                          return RespondWithRequestId(fd, head, n);
                        });
  // Records the run time.
  cr_assert_eq(fixture.Call("first", 5'000).status, 200);
  hangs = true;
  std::vector<HttpReply> replies(kSlots + kWaiting);
  std::atomic<int> ended = 0;
  std::vector<std::thread> callers;
  for (HttpReply& reply : replies) {
    callers.emplace_back([&] {
      reply = fixture.Call("x", 60'000);
      ++ended;
    });
  }
  while (ended < kWaiting) {
    std::this_thread::sleep_for(Milliseconds(1));
  }
  hangs = false;
  for (std::thread& caller : callers) {
    caller.join();
  }
  int served = 0;
  for (const HttpReply& reply : replies) {
    if (reply.status == 200) {
      ++served;
      continue;
    }
    cr_expect_eq(reply.status, 503, "%d", reply.status);
    ExpectEqual(reply.Header("x-outcome"), "not-run");
    ExpectEqual(reply.Header("x-reason"), "overloaded");
  }
  cr_expect_eq(served, kSlots);
  cr_expect_eq(received.load(), served + 1);
  // The response ended the stall.
  cr_expect_eq(fixture.Call("last", 5'000).status, 200);
}

}  // namespace dragonflytack
