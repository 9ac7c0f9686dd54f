#include "daemon/target_life_cycle.h"

#include <string>
#include <string_view>
#include <vector>

#include <criterion/criterion.h>

#include "dragonflytack/base/manual_clock.h"
#include "dragonflytack/base/random.h"

namespace dragonflytack {

namespace {

constexpr Milliseconds kAnnouncementTimeout{15'000};

LocalTarget Target(TargetState state) {
  return {"roster", "127.0.0.1", 8080, state, 12};
}

struct Fixture {
  ManualClock clock;
  TimerService timers{&clock};
  std::vector<LocalTarget> changes;
  TargetLifeCycle life_cycle{
      &timers, kAnnouncementTimeout,
      [this](const LocalTarget& target) { changes.push_back(target); }};

  // Announces a run of the target.
  bool Announce(const std::string& instance,
                int64_t started_ms,
                int64_t sequence,
                TargetState state) {
    LocalTarget target = Target(state);
    target.instance = instance;
    target.started_ms = started_ms;
    target.sequence = sequence;
    return life_cycle.HandleAnnouncement(target);
  }

  void Advance(int milliseconds) {
    clock.Advance(Milliseconds(milliseconds));
    timers.RunDue();
  }
};

}  // namespace

// Guards against repeated announcements that raise the record's sequence and
// flood the fleet with updates, and against changes that are not reported.
Test(target_life_cycle, reports_changes_but_not_repeated_announcements) {
  Fixture fixture;
  for (const TargetState state :
       {TargetState::kStarting, TargetState::kWarming, TargetState::kReady,
        TargetState::kReady, TargetState::kDraining, TargetState::kLeft}) {
    fixture.life_cycle.HandleAnnouncement(Target(state));
    cr_assert(fixture.life_cycle.target() == Target(state));
  }
  cr_assert_eq(fixture.changes.size(), 5u);
  cr_assert(fixture.changes[2] == Target(TargetState::kReady));
  LocalTarget changed = Target(TargetState::kLeft);
  changed.port = 8081;
  fixture.life_cycle.HandleAnnouncement(changed);
  cr_assert(fixture.changes.size() == 6 && fixture.changes.back() == changed);
}

// Guards against calls to a target that crashed, and against a target that is
// considered lost although it repeats its announcement in time.
Test(target_life_cycle, target_without_announcements_is_considered_starting) {
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

// Guards against a target that has left and becomes starting again without an
// announcement.
Test(target_life_cycle, target_that_left_stays_left) {
  Fixture fixture;
  fixture.life_cycle.HandleAnnouncement(Target(TargetState::kLeft));
  fixture.Advance(60'000);
  cr_assert(fixture.life_cycle.target().state == TargetState::kLeft);
  fixture.life_cycle.HandleAnnouncement(Target(TargetState::kStarting));
  cr_assert(fixture.life_cycle.target().state == TargetState::kStarting);
}

// Guards against announcements that are late, repeated or from an earlier run
// and change the target's state, and against a target that gets calls after it
// has announced that it is draining or has left.
Test(target_life_cycle, sequences_and_start_times_order_announcements) {
  Fixture fixture;
  const auto state = [&] { return fixture.life_cycle.target().state; };
  cr_assert(fixture.Announce("i-1", 100, 1, TargetState::kReady));
  cr_expect(fixture.Announce("i-1", 100, 3, TargetState::kReady));
  cr_expect(!fixture.Announce("i-1", 100, 2, TargetState::kWarming));
  cr_expect(state() == TargetState::kReady);
  // Leaving is final, whatever the number: another writer may have used a
  // higher one.
  cr_expect(fixture.Announce("i-1", 100, 1, TargetState::kDraining));
  cr_expect(state() == TargetState::kDraining);
  cr_expect(!fixture.Announce("i-1", 100, 2, TargetState::kReady));
  cr_expect(fixture.Announce("i-1", 100, 4, TargetState::kReady));
  cr_expect(state() == TargetState::kDraining);
  // In a new run, the same instance name starts a new sequence.
  cr_expect(fixture.Announce("i-1", 200, 1, TargetState::kReady));
  cr_expect(state() == TargetState::kReady);
  cr_expect(!fixture.Announce("i-1", 100, 9, TargetState::kDraining));
  // `left` without a start time overrides later announcements of the same run.
  cr_expect(fixture.Announce("i-1", 0, 0, TargetState::kLeft));
  cr_expect(fixture.Announce("i-1", 200, 5, TargetState::kReady));
  cr_expect(state() == TargetState::kLeft);
  // Without start times, an earlier instance stays outdated.
  cr_expect(fixture.Announce("i-2", 0, 1, TargetState::kReady));
  cr_expect(fixture.Announce("i-3", 0, 1, TargetState::kReady));
  cr_expect(!fixture.Announce("i-2", 0, 7, TargetState::kDraining));
  cr_expect(state() == TargetState::kReady);
}

// Regression test: a run that repeated `draining` was considered starting 15 s
// after the first one, and its next `ready` got it calls again. Leaving is
// final for a run, whether it repeats its announcement, falls silent or cannot
// be reached; only a later run is ready.
Test(target_life_cycle, leaving_run_keeps_leaving_until_another_run_starts) {
  constexpr int kRepeatMs = 5000;
  constexpr int64_t kStarted = 100;
  for (const TargetState leaving :
       {TargetState::kDraining, TargetState::kLeft}) {
    for (const char* end : {"repeats", "silent", "unreachable"}) {
      Fixture fixture;
      int64_t sequence = 0;
      const auto announce = [&](const char* instance, int64_t started,
                                TargetState state, int slots) {
        LocalTarget target = Target(state);
        target.instance = instance;
        target.started_ms = started;
        target.sequence = ++sequence;
        target.slots = slots;
        return fixture.life_cycle.HandleAnnouncement(target);
      };
      announce("i-1", kStarted, TargetState::kReady, 12);
      announce("i-1", kStarted, leaving, 12);
      for (int i = 0; i < 8; ++i) {
        fixture.Advance(kRepeatMs);
        if (std::string_view(end) == "repeats") {
          cr_expect(announce("i-1", kStarted, leaving, 12));
        } else if (std::string_view(end) == "unreachable") {
          fixture.life_cycle.OnUnreachable();
        }
        cr_expect(fixture.life_cycle.target().state == leaving, "%s: %d", end,
                  i);
      }
      cr_expect(announce("i-1", kStarted, TargetState::kReady, 12));
      cr_expect(fixture.life_cycle.target().state == leaving, "%s", end);
      cr_expect_eq(fixture.changes.size(), 2u, "%s", end);
      // Other fields of a leaving run are still reported.
      cr_expect(announce("i-1", kStarted, leaving, 13));
      cr_expect_eq(fixture.changes.size(), 3u, "%s", end);
      cr_expect(fixture.changes.back().state == leaving &&
                fixture.changes.back().slots == 13);
      // The same instance name with a later start time is another run.
      sequence = 0;
      cr_expect(announce("i-1", kStarted + 1, TargetState::kReady, 12));
      cr_expect(fixture.life_cycle.target().state == TargetState::kReady);
      cr_expect(!announce("i-1", kStarted, leaving, 12));
      fixture.Advance(14'999);
      cr_expect(fixture.life_cycle.target().state == TargetState::kReady);
      fixture.Advance(1);
      cr_expect(fixture.life_cycle.target().state == TargetState::kStarting);
    }
  }
}

// Guards against a target without an instance name that never gets calls again
// after it has drained and fallen silent.
Test(target_life_cycle, unnamed_target_is_ready_again_after_a_drain) {
  Fixture fixture;
  for (const TargetState leaving :
       {TargetState::kDraining, TargetState::kLeft}) {
    fixture.life_cycle.HandleAnnouncement(Target(TargetState::kReady));
    fixture.life_cycle.HandleAnnouncement(Target(leaving));
    fixture.Advance(60'000);
    cr_expect(fixture.life_cycle.target().state == leaving);
    fixture.life_cycle.HandleAnnouncement(Target(TargetState::kReady));
    cr_expect(fixture.life_cycle.target().state == TargetState::kReady);
  }
}

// Guards against a target that gets calls although no connection to it can be
// made.
Test(target_life_cycle,
     unreachable_target_is_starting_until_next_announcement) {
  Fixture fixture;
  fixture.life_cycle.HandleAnnouncement(Target(TargetState::kReady));
  fixture.life_cycle.OnUnreachable();
  cr_expect(fixture.life_cycle.target().state == TargetState::kStarting);
  fixture.life_cycle.HandleAnnouncement(Target(TargetState::kReady));
  cr_expect(fixture.life_cycle.target().state == TargetState::kReady);
}

// Guards against an instance that gets no calls because its start time is
// before that of an instance that has left: the clock of the host was set back
// in between.
Test(target_life_cycle, new_instance_after_the_clock_was_set_back) {
  Fixture fixture;
  cr_assert(fixture.Announce("i-1", 10'000, 1, TargetState::kReady));
  cr_assert(fixture.Announce("i-1", 10'000, 2, TargetState::kLeft));
  fixture.Advance(60'000);
  // A late announcement would look the same, so the instance must go on.
  for (int i = 1; i <= 3; ++i) {
    cr_expect(!fixture.Announce("i-2", 9'000, i, TargetState::kReady));
    cr_expect(fixture.life_cycle.target().state == TargetState::kLeft);
    fixture.Advance(5'000);
  }
  cr_expect(fixture.Announce("i-2", 9'000, 4, TargetState::kReady));
  cr_expect(fixture.life_cycle.target().state == TargetState::kReady);
  // A late announcement of the instance that has left changes nothing.
  cr_expect(!fixture.Announce("i-1", 10'000, 3, TargetState::kReady));
  cr_expect_str_eq(fixture.life_cycle.target().instance.c_str(), "i-2");
}

// Guards against a late announcement of an earlier run that replaces a run that
// is alive, and against an instance that gets no calls because the one before
// it ended without announcing that it left.
Test(target_life_cycle, earlier_start_time_replaces_silent_run_only) {
  Fixture fixture;
  int64_t sequence = 0;
  const auto announce = [&](const char* instance, int64_t started,
                            TargetState state) {
    return fixture.Announce(instance, started, ++sequence, state);
  };
  cr_assert(announce("i-1", 10'000, TargetState::kReady));
  for (int i = 0; i < 3; ++i) {
    fixture.Advance(4'999);
    cr_expect(!announce("i-2", 9'000, TargetState::kReady));
  }
  // The first run is silent now; the second one has announced itself for long
  // enough 4,999 ms later.
  fixture.Advance(4'999);
  cr_expect(!announce("i-2", 9'000, TargetState::kReady));
  fixture.Advance(3);
  cr_expect(announce("i-2", 9'000, TargetState::kReady));
  cr_expect(fixture.life_cycle.target().state == TargetState::kReady);
  // A run that was only silent may go on.
  cr_expect(announce("i-1", 10'000, TargetState::kReady));
}

// Guards against a deregistration of an unknown instance that shuts the living
// one out, and against the one that was deregistered getting calls later.
Test(target_life_cycle, leaving_of_an_unknown_instance_changes_nothing_else) {
  Fixture fixture;
  int64_t sequence = 0;
  const auto announce = [&](const char* instance, int64_t started,
                            TargetState state) {
    return fixture.Announce(instance, started, ++sequence, state);
  };
  cr_assert(announce("i-1", 100, TargetState::kReady));
  cr_expect(!announce("other", 0, TargetState::kLeft));
  cr_expect(fixture.life_cycle.target().state == TargetState::kReady);
  for (int i = 0; i < 100; ++i) {
    announce(("unknown-" + std::to_string(i)).c_str(), 0, TargetState::kLeft);
  }
  cr_expect(announce("i-1", 100, TargetState::kReady));
  cr_expect(announce("i-2", 200, TargetState::kReady));
  cr_expect(!announce("unknown-99", 0, TargetState::kReady));
  cr_expect_str_eq(fixture.life_cycle.target().instance.c_str(), "i-2");
}

// Guards against a late announcement of an earlier run that brings a target
// calls again, in all orders of two runs: the later one runs, is silent, drains
// or has left, under the same name or another, after any number of runs before.
Test(target_life_cycle, late_announcements_never_follow_a_later_run) {
  Random random(1);
  for (int round = 0; round < 2'000; ++round) {
    Fixture fixture;
    const bool same_name = random.Below(2) == 0;
    const auto name = [&](int64_t run) {
      return same_name ? std::string("i") : "i-" + std::to_string(run);
    };
    const auto runs =
        static_cast<int64_t>(random.Below(10) == 0 ? 70 + random.Below(10) : 2);
    for (int64_t run = 1; run < runs; ++run) {
      fixture.Announce(name(run), run, 1, TargetState::kReady);
      if (random.Below(2) == 0) {
        fixture.Announce(
            name(run), run, 2,
            random.Below(2) == 0 ? TargetState::kDraining : TargetState::kLeft);
      }
    }
    cr_assert(fixture.Announce(name(runs), runs, 1, TargetState::kReady));
    switch (random.Below(4)) {
      case 0:
        break;
      case 1:
        fixture.Advance(15'000);
        break;
      case 2:
        cr_assert(
            fixture.Announce(name(runs), runs, 2, TargetState::kDraining));
        break;
      default:
        cr_assert(fixture.Announce(name(runs), runs, 2, TargetState::kLeft));
        break;
    }
    const TargetState state = fixture.life_cycle.target().state;
    // Up to three reports that were under way when their run crashed.
    const int late = 1 + static_cast<int>(random.Below(3));
    for (int i = 0; i < late; ++i) {
      const auto run = static_cast<int64_t>(1 + random.Below(runs - 1));
      fixture.Advance(static_cast<int>(random.Below(4'000)));
      cr_expect(!fixture.Announce(name(run), run, 10 + i, TargetState::kReady));
      cr_assert(fixture.life_cycle.target().started_ms == runs,
                "round %d: run %ld follows run %ld", round,
                static_cast<long>(run), static_cast<long>(runs));
      cr_assert(fixture.life_cycle.target().state == state ||
                fixture.life_cycle.target().state == TargetState::kStarting);
    }
  }
}

}  // namespace dragonflytack
