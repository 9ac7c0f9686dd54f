#include "dragonflytack/calls/call_task.h"

#include <algorithm>
#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include <criterion/criterion.h>
#include <fmt/format.h>

#include "call_fixture.h"

namespace dragonflytack {

namespace {

using Script = ScriptedTarget::Script;

ServiceRow Row(ServiceKind kind) {
  ServiceRow row;
  row.service = "s";
  row.kind = kind;
  return row;
}

std::string RequestId(const std::string& head) {
  return HttpReply{0, head, "", Milliseconds(0)}.Header("x-request-id");
}

bool AnswerOwn(int fd, const std::string& head, int /*n*/) {
  return ScriptedTarget::Answer(fd, RequestId(head));
}

}  // namespace

// Guards against answers that reach another caller or come without the outcome.
Test(call_task, every_caller_gets_its_own_answer) {
  CallFixture fixture(2, Row(ServiceKind::kIdempotent));
  ScriptedTarget first(fixture.Address(1), CallFixture::kTargetPort, AnswerOwn);
  ScriptedTarget second(fixture.Address(2), CallFixture::kTargetPort,
                        AnswerOwn);
  std::atomic<int> right = 0;
  std::vector<std::thread> callers;
  for (int caller = 0; caller < 8; ++caller) {
    callers.emplace_back([&, caller] {
      for (int i = 0; i < 50; ++i) {
        const std::string id = fmt::format("{}-{}", caller, i);
        const HttpReply reply = fixture.Call(id, 1000);
        right += reply.status == 200 && reply.body == id &&
                         reply.Header("x-outcome") == "done"
                     ? 1
                     : 0;
      }
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  cr_assert_eq(right, 400);
  cr_assert(first.requests() > 0 && second.requests() > 0);
  cr_assert_eq(first.requests() + second.requests(), 400);
}

}  // namespace dragonflytack
