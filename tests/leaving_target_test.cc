// Calls that wait beside a target when it announces that it leaves.

#include <algorithm>
#include <chrono>
#include <memory>
#include <mutex>
#include <queue>
#include <string>
#include <thread>
#include <vector>

#include <criterion/criterion.h>

#include "call_fixture.h"
#include "calls/admission_queue.h"

namespace dragonflytack {

namespace {

// The default of the setting target.drain, counted from the acknowledgement.
constexpr Milliseconds kDrain{2'000};

struct Item {
  int number = 0;
};

}  // namespace

// Guards against waiting calls that reach a target after the time for which it
// still serves calls, against refusing those for which there is time, and
// against refusing the others late.
Test(leaving_target, waiting_calls_end_within_its_time) {
  for (const TargetState state : {TargetState::kDraining, TargetState::kLeft}) {
    constexpr int kCalls = 12;
    constexpr Milliseconds kRunTime{300};
    ServiceRow row = Row(ServiceKind::kOneTime);
    row.slots = 1;
    row.retry_limit = 0;
    CallFixture fixture(1, row);
    std::mutex mutex;
    std::vector<TimePoint> arrivals;
    ScriptedTarget target(
        fixture.Address(1), CallFixture::kTargetPort,
        [&](int fd, const std::string& head, int n) {
          {
            const std::lock_guard<std::mutex> lock(mutex);
            arrivals.push_back(std::chrono::steady_clock::now());
          }
          std::this_thread::sleep_for(kRunTime);
          return RespondWithRequestId(fd, head, n);
        });
    // Records the run time.
    cr_assert_eq(fixture.Call("first", 5'000).status, 200);
    std::vector<HttpReply> replies(kCalls);
    std::vector<TimePoint> ends(kCalls);
    std::vector<std::thread> callers;
    for (int i = 0; i < kCalls; ++i) {
      callers.emplace_back([&, i] {
        replies[i] = fixture.Call(std::to_string(i), 20'000);
        ends[i] = std::chrono::steady_clock::now();
      });
    }
    while (fixture.task(1)->calls_in_progress().target < kCalls) {
      std::this_thread::sleep_for(Milliseconds(1));
    }
    fixture.SetTargetState(1, state);
    const TimePoint leaving = std::chrono::steady_clock::now();
    for (std::thread& caller : callers) {
      caller.join();
    }
    int served = 0;
    for (int i = 0; i < kCalls; ++i) {
      if (replies[i].status == 200) {
        ++served;
        continue;
      }
      cr_expect_eq(replies[i].status, 503, "%d", replies[i].status);
      ExpectEqual(replies[i].Header("x-outcome"), "not-run");
      ExpectEqual(replies[i].Header("x-reason"), "draining");
      cr_expect(ends[i] - leaving < kDrain);
    }
    const std::lock_guard<std::mutex> lock(mutex);
    cr_expect_eq(arrivals.size(), static_cast<size_t>(served) + 1);
    for (const TimePoint arrival : arrivals) {
      cr_expect(arrival - leaving < kDrain);
    }
    cr_expect_geq(served, 2);
  }
}

// Guards against waiting calls that end after the last time of the target, and
// against an estimate that refuses many calls that would have ended before: the
// loads differ in slots, run times and the length of the queue.
Test(leaving_target, queue_keeps_the_calls_that_end_in_time) {
  for (const int slots : {1, 4, 16}) {
    for (const int waiting : {0, 3, 40, 200}) {
      for (const Milliseconds run_time :
           {Milliseconds(20), Milliseconds(310)}) {
        AdmissionQueue<Item> queue;
        queue.slots().set_limit(slots);
        TimePoint now{};
        const TimePoint end = now + Milliseconds(1'750);
        AdmissionQueue<Item>::Terms terms;
        terms.objective = terms.deadline = now + std::chrono::hours(1);
        std::vector<Item> items(static_cast<size_t>(slots + waiting));
        for (Item& item : items) {
          Item* displaced = nullptr;
          queue.Offer(&item, terms, items.size(), now, &displaced);
        }
        for (int i = 0; i < 50; ++i) {
          queue.RecordRunTime("", run_time);
        }
        while (queue.PopEndingAfter(end, now) != nullptr) {
        }
        // All running calls have just begun.
        std::priority_queue<TimePoint, std::vector<TimePoint>, std::greater<>>
            running;
        for (int i = 0; i < slots; ++i) {
          running.push(now + run_time);
        }
        const size_t kept = queue.size();
        TimePoint last = now;
        for (size_t i = 0; i < kept; ++i) {
          const TimePoint start = running.top();
          running.pop();
          last = start + run_time;
          running.push(last);
        }
        cr_expect(last <= end + run_time, "%d slots, %d waiting", slots,
                  waiting);
        const auto possible = static_cast<size_t>(
            slots * ((end - now) / TimePoint::duration(run_time) - 1));
        cr_expect_geq(kept + static_cast<size_t>(slots),
                      std::min(static_cast<size_t>(waiting), possible),
                      "%d slots, %d waiting: %zu of %zu", slots, waiting, kept,
                      possible);
      }
    }
  }
}

}  // namespace dragonflytack
