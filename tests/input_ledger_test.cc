#include "base/input_ledger.h"

#include <memory>
#include <vector>

#include <criterion/criterion.h>

#include "base/connection_limits.h"
#include "dragonflytack/base/random.h"

namespace dragonflytack {

namespace {

constexpr size_t kLimit = 8 << 20;
constexpr size_t kReadBytes = 16 << 10;
constexpr size_t kBodyBytes = 4 << 20;

class FakeSender final : public InputSender {
 public:
  FakeSender(InputLedger* ledger, TimePoint now) : InputSender(ledger, now) {
    Enter(InputPhase::kBody, now);
  }

  void Drop(DropCause /*cause*/) override {
    dropped_ = true;
    Release();
  }
};

using Senders = std::vector<std::unique_ptr<FakeSender>>;

}  // namespace

// Guards against senders without end, or many that stop short of their end,
// that leave no room for an ordinary request with a large body.
Test(input_ledger, senders_without_end_starve_no_other) {
  for (const int count : {1, 10, 200, 1'000}) {
    for (const bool stopping : {false, true}) {
      BufferBudget budget(kLimit);
      InputLedger ledger(&budget, {});
      TimePoint now{};
      Random random(static_cast<uint64_t>(count));
      Senders senders;
      for (int i = 0; i < count; ++i) {
        senders.push_back(std::make_unique<FakeSender>(&ledger, now));
      }
      for (int request = 0; request < 20; ++request) {
        // Senders that have stopped do not receive for this long.
        now += Milliseconds(2'000);
        FakeSender ordinary(&ledger, now);
        size_t received = 0;
        while (received < kBodyBytes) {
          now += Milliseconds(10);
          for (int i = 0; i < 10 && !(stopping && request > 0); ++i) {
            // A dropped sender connects again.
            auto& sender = senders[random.Below(senders.size())];
            if (sender->dropped()) {
              sender = std::make_unique<FakeSender>(&ledger, now);
            }
            ledger.Received(sender.get(), kReadBytes, now);
            cr_assert_leq(budget.held(), ledger.limit());
          }
          if (!ordinary.dropped()) {
            ledger.Received(&ordinary, kReadBytes, now);
            received += kReadBytes;
          }
          if (ordinary.dropped()) {
            cr_expect_gt(received + kReadBytes,
                         ledger.limit() / (senders.size() + 1),
                         "%d senders left less than an equal share", count);
            break;
          }
        }
        if (stopping && request > 0) {
          cr_expect(!ordinary.dropped(), "%d senders that stopped", count);
        }
      }
      senders.clear();
      cr_assert_eq(budget.held(), 0);
    }
  }
}

// Guards against an ordinary short request that is dropped while others hold
// more.
Test(input_ledger, short_requests_are_never_dropped) {
  BufferBudget budget(kLimit);
  InputLedger ledger(&budget, {});
  TimePoint now{};
  Senders senders;
  for (int i = 0; i < 60; ++i) {
    senders.push_back(std::make_unique<FakeSender>(&ledger, now));
  }
  for (int i = 0; i < 20'000; ++i) {
    now += Milliseconds(1);
    auto& sender = senders[static_cast<size_t>(i) % senders.size()];
    if (sender->dropped()) {
      sender = std::make_unique<FakeSender>(&ledger, now);
    }
    ledger.Received(sender.get(), 2 * kReadBytes, now);
    FakeSender ordinary(&ledger, now);
    ledger.Received(&ordinary, kReadBytes, now);
    cr_assert(!ordinary.dropped());
  }
}

// Guards against responses without end that use up the budget and stop requests
// from arriving.
Test(input_ledger, responses_stop_no_requests) {
  BufferBudget budget(kLimit);
  InputLedger ledger(&budget, {});
  BufferBudget::Share response(&budget);
  response.Add(2 * kLimit);
  FakeSender ordinary(&ledger, TimePoint{});
  ledger.Received(&ordinary, kLimit / 4, TimePoint{});
  cr_expect(!ordinary.dropped());
}

// Guards against dropping a request that a target may run, and against a
// response that is cut off while its reader takes it.
Test(input_ledger, requests_in_progress_are_kept) {
  BufferBudget budget(kLimit);
  InputLedger ledger(&budget, {});
  const TimePoint now{};
  FakeSender handling(&ledger, now);
  ledger.Received(&handling, kBodyBytes, now);
  handling.Enter(InputPhase::kHandling, now);
  FakeSender responding(&ledger, now);
  responding.Enter(InputPhase::kResponding, now);
  ledger.Received(&responding, kReadBytes, now);
  FakeSender hostile(&ledger, now);
  ledger.Received(&hostile, 2 * kBodyBytes, now + Milliseconds(2'500));
  cr_expect(hostile.dropped());
  cr_expect(!handling.dropped() && !responding.dropped());
}

// Guards against time limits that act on clients within the documented limits:
// a head within 3 s, an idle connection of 15 s and a slow but steady body.
Test(input_ledger, only_overdue_senders_exceed_a_time_limit) {
  BufferBudget budget(kLimit);
  InputLedger ledger(&budget, {});
  TimePoint now{};
  FakeSender sender(&ledger, now);
  sender.Enter(InputPhase::kIdle, now);
  now += Milliseconds(15'000);
  cr_expect(!ledger.FindOverdue(sender, now));
  sender.Enter(InputPhase::kHead, now);
  cr_expect(!ledger.FindOverdue(sender, now + Milliseconds(3'000)));
  cr_expect(ledger.FindOverdue(sender, now + Milliseconds(5'001)) ==
            DropCause::kHeadTimeout);
  sender.Enter(InputPhase::kBody, now);
  for (int i = 0; i < 100; ++i) {
    now += Milliseconds(2'000);
    ledger.Received(&sender, 1, now);
    cr_expect(!ledger.FindOverdue(sender, now + Milliseconds(2'000)));
  }
  cr_expect(ledger.FindOverdue(sender, now + Milliseconds(10'001)) ==
            DropCause::kBodyTimeout);
  sender.Postpone(Milliseconds(60'000));
  cr_expect(!ledger.FindOverdue(sender, now + Milliseconds(60'001)));
}

// Guards against limits that leave no descriptors for links, the store and
// targets.
Test(connection_limits, leave_descriptors_for_other_connections) {
  for (const size_t descriptors : {256, 512, 4'100, 8'192, 1 << 20}) {
    const ConnectionLimits limits =
        ConnectionLimits::FromDescriptors(descriptors);
    const size_t accepted =
        2 * limits.calls + 3 * limits.control + limits.peers;
    cr_expect_leq(accepted, descriptors - descriptors / 8, "%zu", descriptors);
    cr_expect_gt(limits.calls, 0);
  }
}

}  // namespace dragonflytack
