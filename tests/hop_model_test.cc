#include "hop_model.h"

#include <string>

#include <criterion/criterion.h>

namespace dragonflytack {

namespace {

constexpr uint64_t kSchedules = 30'000;
// Each mutant must be detected within a tenth of the schedules.
constexpr uint64_t kMutantSchedules = kSchedules / 10;

// Returns the first violation with its seed, or an empty string if there is
// none.
std::string FindViolation(uint64_t schedules,
                          const HopRules& rules,
                          HopModel::Coverage* totals) {
  for (uint64_t seed = 1; seed <= schedules; ++seed) {
    HopModel model(seed, rules);
    const std::string violation = model.Run();
    if (!violation.empty()) {
      return "seed " + std::to_string(seed) + ": " + violation;
    }
    totals->executed += model.coverage().executed;
    totals->reported_not_run += model.coverage().reported_not_run;
    totals->unknown += model.coverage().unknown;
    totals->retried += model.coverage().retried;
    totals->rejected_as_unknown += model.coverage().rejected_as_unknown;
    totals->misdirected += model.coverage().misdirected;
  }
  return {};
}

void ExpectViolation(const HopRules& rules) {
  HopModel::Coverage totals;
  cr_assert(!FindViolation(kMutantSchedules, rules, &totals).empty(),
            "no schedule detected the mutant");
}

}  // namespace

// Guards against a one-time call that runs twice, runs at a target of another
// service, or runs although it was reported to the caller as not run.
Test(hop_model, calls_without_key_run_at_most_once, .timeout = 120) {
  HopModel::Coverage totals;
  const std::string found = FindViolation(kSchedules, HopRules{}, &totals);
  cr_assert(found.empty(), "%s", found.c_str());
  // The schedules must cover each of these cases.
  for (const uint64_t count :
       {totals.executed, totals.reported_not_run, totals.unknown,
        totals.retried, totals.rejected_as_unknown, totals.misdirected}) {
    cr_expect_gt(count, kSchedules / 100);
  }
}

Test(hop_model, detects_target_that_does_not_check_its_instance) {
  ExpectViolation({.target_checks_instance = false});
}

Test(hop_model, detects_not_run_without_proof) {
  ExpectViolation({.not_run_requires_proof = false});
}

Test(hop_model, detects_retry_after_unknown_outcome) {
  ExpectViolation({.no_retry_after_unknown = false});
}

Test(hop_model, detects_duplicate_message_that_is_started) {
  ExpectViolation({.node_guards_attempts = false});
}

Test(hop_model, detects_restarted_node_that_starts_earlier_attempts) {
  ExpectViolation({.node_checks_incarnation = false});
}

}  // namespace dragonflytack
