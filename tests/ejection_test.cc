#include "routing/ejection.h"

#include <criterion/criterion.h>

namespace dragonflytack {

namespace {

// Records the ends "s" success, "f" failure, "t" timeout, "n" neutral. Returns
// the number of ends until the endpoint should be ejected, 0 for never.
int EndsUntilEjection(Ejection* ejection, const char* ends) {
  for (int i = 0; ends[i] != '\0'; ++i) {
    const AttemptOutcome end = ends[i] == 's'   ? AttemptOutcome::kSuccess
                               : ends[i] == 'f' ? AttemptOutcome::kFailure
                               : ends[i] == 't' ? AttemptOutcome::kTimeout
                                                : AttemptOutcome::kNeutral;
    if (ejection->Record(end)) {
      return i + 1;
    }
  }
  return 0;
}

}  // namespace

// Guards against ejections after too few failures and by refusals.
Test(ejection, judges_runs_of_failures_and_timeout_rates) {
  struct Case {
    const char* ends;
    int expected;
  };
  const Case cases[] = {
      {"ffff", 0},          {"fffff", 5},          {"ffffsffff", 0},
      {"ffnffnf", 7},       {"nnnnnnnnnnnn", 0},   {"stststststst", 0},
      {"tstststststs", 11}, {"ttsttsttsttst", 10}, {"fsfsfsfsfsfsfsfs", 0},
  };
  for (const Case& test : cases) {
    Ejection ejection;
    const int count = EndsUntilEjection(&ejection, test.ends);
    cr_expect_eq(count, test.expected, "%s: %d", test.ends, count);
  }
}

// Guards against a dead host that gets five calls in each period, and against a
// period that grows without bound or never shrinks.
Test(ejection, period_doubles_to_its_limit_and_is_forgotten) {
  Ejection ejection;
  TimePoint now{};
  for (const int seconds : {1, 2, 4, 5, 5}) {
    ejection.Eject(now);
    now += Milliseconds(seconds * 1000 - 1);
    cr_expect(ejection.IsEjected(now), "%d s", seconds);
    now += Milliseconds(1);
    cr_expect(!ejection.IsEjected(now), "%d s", seconds);
    cr_expect(ejection.Record(AttemptOutcome::kFailure));
  }
  cr_expect_eq(EndsUntilEjection(&ejection, "ssssssssssssssssssss"), 0);
  ejection.Eject(now);
  cr_expect(!ejection.IsEjected(now + Ejection::kFirstPeriod));
}

}  // namespace dragonflytack
