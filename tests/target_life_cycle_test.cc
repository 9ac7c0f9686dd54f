#include "daemon/target_life_cycle.h"

#include <vector>

#include <criterion/criterion.h>

#include "dragonflytack/base/manual_clock.h"

namespace dragonflytack {

namespace {

constexpr Milliseconds kAnnouncementTimeout{15'000};

struct Fixture {
  ManualClock clock;
  TimerService timers{&clock};
  std::vector<LocalTarget> changes;
  TargetLifeCycle life_cycle{
      &timers, kAnnouncementTimeout,
      [this](const LocalTarget& target) { changes.push_back(target); }};

  void Advance(int milliseconds) {
    clock.Advance(Milliseconds(milliseconds));
    timers.RunDue();
  }
};

LocalTarget Target(TargetState state) {
  return {"roster", "127.0.0.1", 8080, state, 12};
}

}  // namespace

// Guards against repetitions that raise the record's sequence and flood the
// fleet, and against changes that go unnoticed.
Test(target_life_cycle, reports_changes_and_not_repetitions) {
  Fixture fixture;
  for (const TargetState state :
       {TargetState::kStarting, TargetState::kWarming, TargetState::kReady,
        TargetState::kReady, TargetState::kDraining, TargetState::kLeft}) {
    fixture.life_cycle.HandleAnnouncement(Target(state));
    cr_assert(fixture.life_cycle.target() == Target(state));
  }
  cr_assert_eq(fixture.changes.size(), 5u);
  cr_assert(fixture.changes[2] == Target(TargetState::kReady));
  LocalTarget moved = Target(TargetState::kLeft);
  moved.port = 8081;
  fixture.life_cycle.HandleAnnouncement(moved);
  cr_assert(fixture.changes.size() == 6 && fixture.changes.back() == moved);
}

// Guards against calls to a target that died without a word, and against a
// target that is lost although it repeats its announcement.
Test(target_life_cycle, target_without_announcements_counts_as_starting) {
  Fixture fixture;
  fixture.life_cycle.HandleAnnouncement(Target(TargetState::kReady));
  for (int i = 0; i < 10; ++i) {
    fixture.Advance(14'999);
    fixture.life_cycle.HandleAnnouncement(Target(TargetState::kReady));
  }
  cr_assert_eq(fixture.changes.size(), 1u);
  fixture.Advance(14'999);
  cr_assert(fixture.life_cycle.target().state == TargetState::kReady);
  fixture.Advance(1);
  cr_assert(fixture.life_cycle.target() == Target(TargetState::kStarting));
  cr_assert_eq(fixture.changes.size(), 2u);
  fixture.Advance(60'000);
  cr_assert_eq(fixture.changes.size(), 2u);
  fixture.life_cycle.HandleAnnouncement(Target(TargetState::kReady));
  cr_assert(fixture.changes.back() == Target(TargetState::kReady));
}

// Guards against a target that said it left and comes back as starting by
// itself.
Test(target_life_cycle, target_that_left_stays_left) {
  Fixture fixture;
  fixture.life_cycle.HandleAnnouncement(Target(TargetState::kLeft));
  fixture.Advance(60'000);
  cr_assert(fixture.life_cycle.target().state == TargetState::kLeft);
  fixture.life_cycle.HandleAnnouncement(Target(TargetState::kStarting));
  cr_assert(fixture.life_cycle.target().state == TargetState::kStarting);
}

// Guards against late, repeated and earlier-life announcements that bring a
// target back, and against a target that gets calls after it said it leaves.
Test(target_life_cycle, numbers_and_start_times_order_announcements) {
  Fixture fixture;
  const auto announce = [&](const char* instance, int64_t started,
                            int64_t sequence, TargetState state) {
    LocalTarget target = Target(state);
    target.instance = instance;
    target.started_ms = started;
    target.sequence = sequence;
    return fixture.life_cycle.HandleAnnouncement(target);
  };
  const auto state = [&] { return fixture.life_cycle.target().state; };
  cr_assert(announce("i-1", 100, 1, TargetState::kReady));
  cr_expect(!announce("i-1", 100, 1, TargetState::kDraining));
  cr_expect(state() == TargetState::kReady);
  cr_expect(announce("i-1", 100, 3, TargetState::kDraining));
  cr_expect(!announce("i-1", 100, 2, TargetState::kReady));
  cr_expect(announce("i-1", 100, 4, TargetState::kReady));
  cr_expect(state() == TargetState::kDraining);
  // The same name in a new run counts anew.
  cr_expect(announce("i-1", 200, 1, TargetState::kReady));
  cr_expect(state() == TargetState::kReady);
  cr_expect(!announce("i-1", 100, 9, TargetState::kDraining));
  // A departure without a start time holds against later reports of the run.
  cr_expect(announce("i-1", 0, 0, TargetState::kLeft));
  cr_expect(announce("i-1", 200, 5, TargetState::kReady));
  cr_expect(state() == TargetState::kLeft);
  // Without start times a run that was followed by another one stays past.
  cr_expect(announce("i-2", 0, 1, TargetState::kReady));
  cr_expect(announce("i-3", 0, 1, TargetState::kReady));
  cr_expect(!announce("i-2", 0, 7, TargetState::kDraining));
  cr_expect(state() == TargetState::kReady);
}

// Guards against a target that gets calls although it takes no connection.
Test(target_life_cycle, unreachable_until_the_next_announcement) {
  Fixture fixture;
  fixture.life_cycle.HandleAnnouncement(Target(TargetState::kReady));
  fixture.life_cycle.OnUnreachable();
  cr_expect(fixture.life_cycle.target().state == TargetState::kStarting);
  fixture.life_cycle.HandleAnnouncement(Target(TargetState::kReady));
  cr_expect(fixture.life_cycle.target().state == TargetState::kReady);
}

}  // namespace dragonflytack
