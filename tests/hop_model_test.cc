#include "hop_model.h"

#include <string>

#include <criterion/criterion.h>

namespace dragonflytack {

namespace {

constexpr uint64_t kSchedules = 30'000;
// Each mutant is to be found within a tenth of the schedules.
constexpr uint64_t kMutantSchedules = kSchedules / 10;

// Returns the first violation with its seed, empty when there is none.
std::string Search(uint64_t schedules,
                   const HopRules& rules,
                   HopModel::Coverage* sum) {
  for (uint64_t seed = 1; seed <= schedules; ++seed) {
    HopModel model(seed, rules);
    const std::string violation = model.Run();
    if (!violation.empty()) {
      return "seed " + std::to_string(seed) + ": " + violation;
    }
    sum->executed += model.coverage().executed;
    sum->told_not_run += model.coverage().told_not_run;
    sum->unknown += model.coverage().unknown;
    sum->sent_again += model.coverage().sent_again;
    sum->no_proof += model.coverage().no_proof;
    sum->misdirected += model.coverage().misdirected;
  }
  return {};
}

void ExpectFound(const HopRules& rules) {
  HopModel::Coverage sum;
  cr_assert(!Search(kMutantSchedules, rules, &sum).empty(),
            "the mutant was not found");
}

}  // namespace

// Guards against a one-time call that runs twice, runs at a target of another
// service, or runs although its caller was told that it did not.
Test(hop_model, calls_run_at_most_once_over_the_hop, .timeout = 120) {
  HopModel::Coverage sum;
  const std::string found = Search(kSchedules, HopRules{}, &sum);
  cr_assert(found.empty(), "%s", found.c_str());
  // The schedules reach what they are meant to reach.
  for (const uint64_t count : {sum.executed, sum.told_not_run, sum.unknown,
                               sum.sent_again, sum.no_proof, sum.misdirected}) {
    cr_expect_gt(count, kSchedules / 100);
  }
}

Test(hop_model, finds_a_target_that_does_not_check_its_name) {
  ExpectFound({.target_checks_its_name = false});
}

Test(hop_model, finds_not_run_without_proof) {
  ExpectFound({.needs_proof_of_not_run = false});
}

Test(hop_model, finds_a_second_send_after_an_unknown_end) {
  ExpectFound({.keeps_to_one_send = false});
}

Test(hop_model, finds_a_repeated_message_that_is_started) {
  ExpectFound({.guards_attempts = false});
}

Test(hop_model, finds_a_restarted_node_that_starts_old_attempts) {
  ExpectFound({.checks_own_start = false});
}

}  // namespace dragonflytack
