#include "rollout/rollout_session.h"

#include <array>
#include <memory>
#include <vector>

#include <criterion/criterion.h>

#include "dragonflytack/base/logger.h"
#include "dragonflytack/base/manual_clock.h"
#include "fake_store_client.h"
#include "registry/rollout_shares.h"
#include "rollout/rollout_controller.h"
#include "store/store_rollout_orders.h"

namespace dragonflytack {

namespace {

using Fault = FakeStoreClient::Fault;

// Two controllers of one roll-out from v1 to v2 within 12 s, with 400 calls/s.
class ControllerPair {
 public:
  ControllerPair() {
    settings_.rollout_exposure = 0.1;
    settings_.rollout_exposure_slack = 50;
    settings_.rollout_rollback_ms = 5000;
    const RolloutOrder order{"s", "v2", Milliseconds(12'000)};
    objects_.Put("rollout/s", StoreRolloutOrders::ToValue(order), 0);
    for (auto& session : sessions_) {
      session = std::make_unique<RolloutSession>(
          settings_,
          RolloutSession::Dependencies{
              &clock_, &store_, &orders_, &logger_,
              [this](const RolloutShare& share) { Publish(share); },
              [this](const std::string& service) {
                const RolloutShare* share = shares_.Find(service);
                return share == nullptr ? RolloutShare{} : *share;
              }},
          CurrentOrder());
    }
  }

  RolloutOrder CurrentOrder() {
    return *StoreRolloutOrders::FromObject(objects_.Get("rollout/s"));
  }
  RolloutShare share() { return *shares_.Find("s"); }

  // Runs until `end`. `stopped` is a controller that does nothing, -1 for none.
  void RunUntil(Milliseconds end, int stopped = -1) {
    for (; now_ < end; now_ += Milliseconds(50)) {
      clock_.Advance(Milliseconds(50));
      timers_.RunDue();
      CountCalls();
      for (size_t i = 0; i < sessions_.size(); ++i) {
        if (static_cast<int>(i) == stopped) {
          continue;
        }
        RolloutSession* const session = sessions_[i].get();
        if (CurrentOrder().version > session->order().version) {
          session->UpdateOrder(CurrentOrder());
        }
        const Milliseconds period =
            session->is_deciding() ? RolloutController::kFinalEvidencePeriod
                                   : RolloutController::kStandbyEvidencePeriod;
        const bool is_last = session->NeedsLastEvidence();
        if (is_last || now_ % period == Milliseconds::zero()) {
          session->AddEvidence("old", old_);
          session->AddEvidence("new", new_);
        }
        if (is_last) {
          session->OnLastEvidenceRequested();
          session->OnLastEvidence();
        }
        if (now_ % Milliseconds(250) == Milliseconds::zero()) {
          const bool other_stops = static_cast<int>(1 - i) == stopped;
          if (!other_stops && sessions_[1 - i]->is_deciding()) {
            session->OnOtherDecides();
          }
        }
        session->Tick(i == 0 || both_first_, now_ > Milliseconds(1000));
      }
    }
  }

  bool bad_ = false;
  bool both_first_ = false;
  Fault fault_ = Fault::kNone;
  Milliseconds now_{0};
  std::vector<RolloutShare> published_;
  MemoryStore objects_;

 private:
  void Publish(const RolloutShare& share) {
    if (shares_.Merge(share)) {
      published_.push_back(share);
    }
  }
  void CountCalls() {
    const RolloutShare* share = shares_.Find("s");
    const int calls = 20;
    const int new_calls = share == nullptr ? 0 : calls * share->share / 1000;
    // Small shares are below one call in 50 ms.
    const bool one = share != nullptr && share->share > 0 && new_calls == 0 &&
                     now_ % Milliseconds(100) == Milliseconds::zero();
    Add(&old_, calls - new_calls, 0);
    Add(&new_, new_calls + (one ? 1 : 0), bad_ ? new_calls + (one ? 1 : 0) : 0);
  }
  static void Add(ReleaseEvidence* evidence, int calls, int failures) {
    RouteEvidence& route = evidence->routes["r"];
    route.responses += static_cast<uint64_t>(calls);
    route.failures += static_cast<uint64_t>(failures);
    route.run_times[40] += static_cast<uint64_t>(calls - failures);
  }

  ManualClock clock_;
  TimerService timers_{&clock_};
  Logger logger_{&clock_, LogLevel::kError, "a"};
  Settings settings_;
  RolloutShares shares_;
  FakeStoreClient store_{&objects_, &timers_, [this](int) { return fault_; }};
  StoreRolloutOrders orders_{&store_, &timers_};
  ReleaseEvidence old_{"s", "v1", {}};
  ReleaseEvidence new_{"s", "v2", {}};
  std::array<std::unique_ptr<RolloutSession>, 2> sessions_;
};

// Whether every share but the last, which ends the roll-out, is at least as
// high as the one before and has a higher epoch.
bool IsMonotonic(const std::vector<RolloutShare>& shares) {
  for (size_t i = 1; i < shares.size(); ++i) {
    if (shares[i].epoch <= shares[i - 1].epoch ||
        (!shares[i].release.empty() && shares[i].share < shares[i - 1].share)) {
      return false;
    }
  }
  return true;
}

}  // namespace

// Guards against a good release that is late, and against a share that stays in
// force for later releases.
Test(rollout_session, completes_a_good_release_before_its_deadline) {
  ControllerPair pair;
  pair.RunUntil(Milliseconds(500));
  cr_expect_eq(pair.share().share, 0);
  pair.RunUntil(Milliseconds(11'900));
  cr_expect(pair.CurrentOrder().progress == RolloutProgress::kCompleted);
  cr_expect_eq(pair.share().share, RolloutShare::kFull);
  pair.RunUntil(Milliseconds(25'000));
  cr_expect(pair.share().release.empty());
  cr_expect(IsMonotonic(pair.published_));
}

// Guards against `completed` on evidence from before the last responses.
Test(rollout_session, rolls_back_a_release_that_fails_right_before_its_end) {
  ControllerPair pair;
  while (pair.share().share != RolloutShare::kFull) {
    pair.RunUntil(pair.now_ + Milliseconds(50));
  }
  const Milliseconds end = pair.now_ + RolloutJudge::kFullShareTime;
  pair.RunUntil(end - Milliseconds(100));
  pair.bad_ = true;
  pair.RunUntil(end + Milliseconds(300));
  cr_expect(pair.CurrentOrder().progress == RolloutProgress::kRolledBack);
}

// Guards against a rollback that waits for the store.
Test(rollout_session, rolls_back_while_the_store_is_unavailable) {
  ControllerPair pair;
  pair.RunUntil(Milliseconds(4'000));
  cr_assert(pair.share().share > 0);
  pair.fault_ = Fault::kUnreachable;
  pair.bad_ = true;
  pair.RunUntil(Milliseconds(8'000));
  cr_expect_eq(pair.share().share, 0);
  cr_expect(pair.CurrentOrder().progress == RolloutProgress::kRunning);
  pair.fault_ = Fault::kNone;
  pair.RunUntil(Milliseconds(9'500));
  cr_expect(pair.CurrentOrder().progress == RolloutProgress::kRolledBack);
  pair.RunUntil(Milliseconds(30'000));
  cr_expect_eq(pair.share().share, 0);
  cr_expect(pair.share().release == "v2");
}

// Guards against a roll-out that ends with its controller, and against steps
// that are taken twice or backwards.
Test(rollout_session, another_controller_takes_over) {
  ControllerPair pair;
  pair.RunUntil(Milliseconds(4'000));
  pair.RunUntil(Milliseconds(8'000), /*stopped=*/0);
  // The first one returns and finds that it was replaced.
  pair.RunUntil(Milliseconds(11'900));
  cr_expect(pair.CurrentOrder().progress == RolloutProgress::kCompleted);
  cr_expect(IsMonotonic(pair.published_));
}

// Guards against two controllers that both take steps, as after a partition.
Test(rollout_session, two_deciding_controllers_take_each_step_once) {
  for (const Fault fault : {Fault::kNone, Fault::kResponseLost}) {
    ControllerPair pair;
    pair.both_first_ = true;
    pair.RunUntil(Milliseconds(3'000));
    pair.fault_ = fault;
    pair.RunUntil(Milliseconds(3'500));
    pair.fault_ = Fault::kNone;
    pair.RunUntil(Milliseconds(11'900));
    cr_expect(pair.CurrentOrder().progress == RolloutProgress::kCompleted);
    cr_expect(IsMonotonic(pair.published_));
  }
}

}  // namespace dragonflytack
