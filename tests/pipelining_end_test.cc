// Ends of connections and nodes while requests are processed before their turn.

#include <sys/socket.h>

#include <atomic>
#include <memory>
#include <string>
#include <thread>

#include "pipelining_fixture.h"

namespace dragonflytack {

// Guards against calls of a disconnected caller that continue: before the first
// response, and while a response is written that the caller does not read.
Test(pipelining_end, calls_of_a_disconnected_caller_are_abandoned) {
  const auto fixture = MakeNodes();
  HoldingTarget target(fixture->Address(1));
  auto caller =
      std::make_unique<Socket>(fixture->Address(0), CallFixture::kCallPort);
  caller->Send(Gets(0, 3));
  target.ExpectArrived(4);
  target.Release("2");
  caller.reset();
  ExpectSoon([&] { return Events(fixture.get(), "abandoned") == 3; });
  ExpectSoon([&] {
    return Metric(fixture.get(),
                  "dragonflytack_calls_in_progress{side=\"entry\"}") == 0;
  });
  target.ReleaseAll();
  Socket other(fixture->Address(0), CallFixture::kCallPort);
  other.Send(Gets(10, 12));
  for (int id = 10; id <= 12; ++id) {
    ExpectBody(&other, std::to_string(id));
  }
}

// Guards against calls that continue if their caller disconnects while the
// response before them is being written, and against a stop that waits for a
// caller that does not read.
Test(pipelining_end, calls_behind_an_unread_response_hold_up_nothing) {
  for (const bool disconnects : {true, false}) {
    constexpr int kDrainTimeoutMs = 1'000;
    CallFixture fixture(1, Row(ServiceKind::kIdempotent), nullptr,
                        kDrainTimeoutMs, CallFixture::Addressing::kServices,
                        Settings().max_buffered_mb, kMaxPipelined);
    std::atomic<bool> released = false;
    // The kernel may take one of the two large responses, but not both.
    ScriptedTarget target(fixture.Address(1), CallFixture::kTargetPort,
                          [&](int fd, const std::string& head, int /*n*/) {
                            const std::string id = RequestId(head);
                            if (id == "0" || id == "1") {
                              return ScriptedTarget::Respond(
                                  fd, std::string(4'000'000, 'a'));
                            }
                            while (id == "2" && disconnects && !released) {
                              std::this_thread::sleep_for(Milliseconds(5));
                            }
                            return ScriptedTarget::Respond(fd, id);
                          });
    const Socket caller(fixture.Address(0), CallFixture::kCallPort);
    const int small = 4096;
    setsockopt(caller.fd(), SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
    caller.Send(Gets(0, 3));
    ExpectSoon([&] {
      return Metric(&fixture,
                    "dragonflytack_calls_total{outcome=\"done\",service="
                    "\"s\"}") == (disconnects ? 3 : 4);
    });
    std::this_thread::sleep_for(kMoreRequests);
    cr_expect_eq(Events(&fixture, "abandoned"), 0);
    if (disconnects) {
      ResetConnection(caller.fd());
      ExpectSoon([&] { return Events(&fixture, "abandoned") >= 2; });
      ExpectSoon([&] {
        return Metric(&fixture,
                      "dragonflytack_calls_in_progress{side=\"entry\"}") == 0;
      });
      cr_expect_eq(Events(&fixture, "answered") + Events(&fixture, "abandoned"),
                   3);
      released = true;
    } else {
      fixture.task(0)->PostStop();
      cr_expect(fixture.WaitUntilStopped(0, kPatience));
    }
  }
}

// Guards against a node that stops and starts further requests early, that
// closes the connection before it has answered those it has started, or that
// forwards one behind the closing response.
Test(pipelining_end, a_stopping_node_answers_what_it_has_started) {
  const auto fixture = MakeNodes();
  HoldingTarget target(fixture->Address(1));
  Socket caller(fixture->Address(0), CallFixture::kCallPort);
  caller.Send(Gets(0, 2));
  target.ExpectArrived(3);
  fixture->task(0)->PostStop();
  std::this_thread::sleep_for(kMoreRequests);
  caller.Send(Gets(3, 4));
  target.ExpectArrived(3);
  target.ReleaseAll();
  for (int id = 0; id <= 2; ++id) {
    const HttpReply reply = caller.ReceiveNext(kPatience);
    ExpectEqual(reply.body, std::to_string(id));
    ExpectEqual(reply.Header("connection"), id == 2 ? "close" : "");
  }
  cr_expect_eq(caller.ReceiveNext(kPatience).status, 0);
  target.ExpectArrived(3);
  cr_expect(fixture->WaitUntilStopped(0, kPatience));
}

// Guards against a call that is cut off at the end of a stop, may have run, and
// is reported as not run when its turn comes.
Test(pipelining_end, calls_that_are_cut_off_are_not_reported_as_not_run) {
  constexpr int kDrainTimeoutMs = 1'000;
  CallFixture fixture(1, Row(ServiceKind::kIdempotent), nullptr,
                      kDrainTimeoutMs, CallFixture::Addressing::kServices,
                      Settings().max_buffered_mb, kMaxPipelined);
  HoldingTarget target(fixture.Address(1));
  Socket caller(fixture.Address(0), CallFixture::kCallPort);
  caller.Send(Gets(0, 2));
  target.ExpectArrived(3);
  target.Release("2");
  fixture.task(0)->PostStop();
  for (int id = 0; id <= 2; ++id) {
    const HttpReply reply = caller.ReceiveNext(kPatience);
    cr_expect_eq(reply.status, id == 2 ? 200 : 504, "%d: %d", id, reply.status);
    ExpectEqual(reply.Header("x-outcome"), id == 2 ? "done" : "unknown");
    ExpectEqual(reply.Header("x-reason"), id == 2 ? "" : "stopping");
  }
  cr_expect(fixture.WaitUntilStopped(0, kPatience));
}

}  // namespace dragonflytack
