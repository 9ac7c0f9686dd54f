// When announcements of the local target take effect and are acknowledged.

#include "daemon/announcement_queue.h"

#include <string>
#include <vector>

#include <criterion/criterion.h>

#include "dragonflytack/base/logger.h"
#include "dragonflytack/base/manual_clock.h"

namespace dragonflytack {

namespace {

LocalTarget Announcement(TargetState state, const std::string& instance = "i") {
  LocalTarget target{"roster", "127.0.0.1", 8080, state, 12};
  target.instance = instance;
  target.started_ms = 1'000;
  return target;
}

struct Fixture {
  void Announce(const LocalTarget& target) {
    queue.Handle(target, [this](const Failure& result) {
      replies.push_back(result.code);
    });
  }
  void Advance(Milliseconds time) {
    clock.Advance(time);
    timers.RunDue();
  }

  ManualClock clock;
  TimerService timers{&clock};
  Logger logger{&clock, LogLevel::kError, ""};
  bool knows_departures = true;
  bool is_stored = false;
  FailureCode refusal = FailureCode::kNone;
  std::vector<TargetState> applied;
  std::vector<FailureCode> replies;
  AnnouncementQueue queue{&timers,
                          &logger,
                          {[this] { return knows_departures; },
                           [this](const LocalTarget& target) {
                             applied.push_back(target.state);
                             // As a core that reports its status from within
                             // the call.
                             queue.Update();
                             return Failure{refusal, "", ""};
                           },
                           [] { return TargetRun::Make("i", 1'000); },
                           [this](const TargetRun&) { return is_stored; }}};
};

}  // namespace

// Guards against a departure that takes effect only when the store has it, so
// that calls go on to a target that leaves, and against one that is
// acknowledged before.
Test(announcement_queue, departure_is_in_force_at_once_and_acknowledged_later) {
  for (const TargetState state : {TargetState::kDraining, TargetState::kLeft}) {
    for (const bool knows_departures : {false, true}) {
      Fixture fixture;
      fixture.knows_departures = knows_departures;
      fixture.Announce(Announcement(state));
      cr_expect_eq(fixture.applied.size(), 1u);
      cr_expect(fixture.replies.empty());
      fixture.Advance(Milliseconds(100));
      fixture.queue.Update();
      cr_expect(fixture.replies.empty());
      fixture.is_stored = true;
      fixture.queue.Update();
      cr_expect(fixture.replies == std::vector{FailureCode::kNone});
      fixture.Advance(Milliseconds(5'000));
      cr_expect_eq(fixture.applied.size(), 1u);
      cr_expect_eq(fixture.replies.size(), 1u);
      // It repeats that it leaves.
      fixture.Announce(Announcement(state));
      cr_expect_eq(fixture.replies.size(), 2u);
    }
  }
}

// Guards against a target that waits for longer than a second while the store
// is away, and against an acknowledgement without the store.
Test(announcement_queue, departure_is_not_acknowledged_without_the_store) {
  Fixture fixture;
  fixture.Announce(Announcement(TargetState::kDraining));
  fixture.Advance(AnnouncementQueue::kReplyTimeout - Milliseconds(1));
  cr_expect(fixture.replies.empty());
  fixture.Advance(Milliseconds(1));
  cr_expect(fixture.replies == std::vector{FailureCode::kStoreUnreachable});
  fixture.is_stored = true;
  fixture.queue.Update();
  cr_expect_eq(fixture.replies.size(), 1u);
}

// Guards against a late `ready` that takes effect before the departures of
// earlier processes are known, and against a restart that costs the target a
// period of its announcements.
Test(announcement_queue, ready_waits_until_departures_are_known) {
  Fixture fixture;
  fixture.knows_departures = false;
  fixture.Announce(Announcement(TargetState::kReady));
  fixture.Advance(Milliseconds(300));
  cr_expect(fixture.applied.empty());
  fixture.knows_departures = true;
  fixture.queue.Update();
  cr_expect(fixture.applied == std::vector{TargetState::kReady});
  cr_expect(fixture.replies == std::vector{FailureCode::kNone});

  // Without an answer, the life cycle decides.
  fixture.knows_departures = false;
  fixture.refusal = FailureCode::kConflict;
  fixture.Announce(Announcement(TargetState::kReady));
  fixture.Advance(AnnouncementQueue::kReplyTimeout);
  cr_expect_eq(fixture.applied.size(), 2u);
  cr_expect_eq(fixture.replies.back(), FailureCode::kConflict);

  // A run without a name cannot have departed.
  fixture.refusal = FailureCode::kNone;
  fixture.Announce(Announcement(TargetState::kReady, ""));
  cr_expect_eq(fixture.replies.back(), FailureCode::kNone);
}

// Guards against announcements that wait without bound, and against replies to
// requests whose server has ended.
Test(announcement_queue, waiting_announcements_are_bounded) {
  std::vector<FailureCode> replies;
  {
    Fixture fixture;
    fixture.knows_departures = false;
    for (size_t i = 0; i <= AnnouncementQueue::kMaxWaiting; ++i) {
      fixture.Announce(Announcement(TargetState::kReady));
    }
    cr_expect(fixture.replies == std::vector{FailureCode::kOverloaded});
    fixture.knows_departures = true;
    fixture.is_stored = false;
    fixture.queue.Update();
    cr_expect_eq(fixture.replies.size(), AnnouncementQueue::kMaxWaiting + 1);
    fixture.queue.Handle(
        Announcement(TargetState::kLeft),
        [&replies](const Failure& result) { replies.push_back(result.code); });
  }
  cr_expect(replies.empty());
}

}  // namespace dragonflytack
