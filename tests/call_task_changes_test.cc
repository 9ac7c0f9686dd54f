// Changes of the table and the target, and bytes of callers, while calls are in
// progress.

#include "dragonflytack/calls/call_task.h"

#include <sys/socket.h>
#include <atomic>
#include <string>
#include <thread>

#include <criterion/criterion.h>

#include "call_fixture.h"

namespace dragonflytack {

namespace {

// One call that occupies the only slot of the target, and one that waits for
// the slot.
class QueuedCall {
 public:
  QueuedCall()
      : fixture_(1, SingleSlotRow()),
        target_(fixture_.Address(1),
                CallFixture::kTargetPort,
                [this](int fd, const std::string& head, int n) {
                  while (n == 1 && !released_) {
                    std::this_thread::sleep_for(Milliseconds(1));
                  }
                  return RespondWithRequestId(fd, head, n);
                }),
        running_(fixture_.Address(0), CallFixture::kCallPort),
        queued_(fixture_.Address(0), CallFixture::kCallPort) {
    running_.Send(CallFixture::Request("running", kDeadlineMs));
    while (target_.requests() == 0) {
      std::this_thread::sleep_for(Milliseconds(1));
    }
    queued_.Send(CallFixture::Request("queued", kDeadlineMs));
    while (fixture_.metrics(1)->RenderText().find(
               "dragonflytack_queue_length 1\n") == std::string::npos) {
      std::this_thread::sleep_for(Milliseconds(1));
    }
  }

  CallFixture& fixture() { return fixture_; }
  Socket& running() { return running_; }
  const Socket& queued() const { return queued_; }
  int requests() const { return target_.requests(); }
  void EndRunningCall() { released_ = true; }

  static constexpr int kDeadlineMs = 3000;

 private:
  static ServiceRow SingleSlotRow() {
    ServiceRow row = Row(ServiceKind::kIdempotent);
    row.slots = 1;
    return row;
  }

  std::atomic<bool> released_ = false;
  CallFixture fixture_;
  ScriptedTarget target_;
  Socket running_;
  const Socket queued_;
};

}  // namespace

// Guards against a crash of the node beside a target when the row of the
// target's service is removed from the table while calls wait for a slot.
Test(call_task, waiting_call_finishes_after_its_service_is_removed) {
  QueuedCall calls;
  ServiceRow other = Row(ServiceKind::kIdempotent);
  other.service = "other";
  calls.fixture().Publish(other);
  // The mailboxes are read within one iteration of the event loops.
  std::this_thread::sleep_for(Milliseconds(20));
  calls.EndRunningCall();
  ExpectEqual(calls.running().Receive(Milliseconds(1000)).body, "running");
  ExpectEqual(calls.queued().Receive(Milliseconds(1000)).body, "queued");
}

// Guards against a waiting call that is sent to a target of another service,
// because the target was replaced while the call waited.
Test(call_task, waiting_call_is_refused_after_the_target_changes_its_service) {
  QueuedCall calls;
  calls.fixture().task(1)->PostTarget({"other", calls.fixture().Address(1),
                                       CallFixture::kTargetPort,
                                       TargetState::kReady, 0});
  const HttpReply refused = calls.queued().Receive(Milliseconds(1000));
  cr_expect_eq(refused.status, 503, "%d", refused.status);
  ExpectEqual(refused.Header("x-outcome"), "not-run");
  ExpectEqual(refused.Header("x-reason"), "wrong_service");
  calls.EndRunningCall();
  ExpectEqual(calls.running().Receive(Milliseconds(1000)).body, "running");
  cr_expect_eq(calls.requests(), 1);
}

// Guards against a node that ends because a caller sends bytes before it has
// received the response to its last request.
Test(call_task, bytes_that_arrive_while_a_response_is_pending_are_read_later) {
  QueuedCall calls;
  const std::string next = CallFixture::Request("next", 1000);
  const size_t half = next.size() / 2;
  for (const std::string& part : {next.substr(0, half), next.substr(half)}) {
    calls.running().Send(part);
    std::this_thread::sleep_for(Milliseconds(20));
  }
  calls.EndRunningCall();
  ExpectEqual(calls.running().ReceiveNext(Milliseconds(1000)).body, "running");
  ExpectEqual(calls.running().ReceiveNext(Milliseconds(1000)).body, "next");
  ExpectEqual(calls.queued().Receive(Milliseconds(1000)).body, "queued");
}

}  // namespace dragonflytack
