#include "routing/ejection.h"

#include <criterion/criterion.h>

namespace dragonflytack {

namespace {

// Records outcomes: "s" success, "f" failure, "t" timeout, "n" neutral. Returns
// the number of outcomes after which the endpoint should be ejected, or 0 if
// that does not happen.
int OutcomesUntilEjection(Ejection* ejection, const char* outcomes) {
  for (int i = 0; outcomes[i] != '\0'; ++i) {
    const AttemptOutcome outcome =
        outcomes[i] == 's'   ? AttemptOutcome::kSuccess
        : outcomes[i] == 'f' ? AttemptOutcome::kFailure
        : outcomes[i] == 't' ? AttemptOutcome::kTimeout
                             : AttemptOutcome::kNeutral;
    if (ejection->Record(outcome)) {
      return i + 1;
    }
  }
  return 0;
}

}  // namespace

// Guards against ejections after too few failures and after refusals.
Test(ejection, ejects_after_consecutive_failures_or_frequent_timeouts) {
  struct Case {
    const char* outcomes;
    int expected;
  };
  const Case cases[] = {
      {"ffff", 0},          {"fffff", 5},          {"ffffsffff", 0},
      {"ffnffnf", 7},       {"nnnnnnnnnnnn", 0},   {"stststststst", 0},
      {"tstststststs", 11}, {"ttsttsttsttst", 10}, {"fsfsfsfsfsfsfsfs", 0},
  };
  for (const Case& test : cases) {
    Ejection ejection;
    const int count = OutcomesUntilEjection(&ejection, test.outcomes);
    cr_expect_eq(count, test.expected, "%s: %d", test.outcomes, count);
  }
}

// Guards against a dead host that receives five calls after each ejection, and
// against an ejection period that grows without bound or is never reset.
Test(ejection, period_doubles_up_to_its_limit_and_resets_after_successes) {
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
  cr_expect_eq(OutcomesUntilEjection(&ejection, "ssssssssssssssssssss"), 0);
  ejection.Eject(now);
  cr_expect(!ejection.IsEjected(now + Ejection::kInitialPeriod));
}

}  // namespace dragonflytack
