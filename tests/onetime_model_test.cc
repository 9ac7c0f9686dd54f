#include "onetime_model.h"

#include <string>

#include <criterion/criterion.h>
#include <fmt/format.h>

namespace dragonflytack {

namespace {

constexpr uint64_t kSchedules = 100'000;
// Each mutant must be detected within a tenth of the schedules.
constexpr uint64_t kMutantSchedules = 10'000;

// Returns the first violation with its seed and steps, or an empty string if
// there is none.
std::string FindViolation(uint64_t schedules,
                          ModelRules* rules,
                          OneTimeModel::Coverage* totals) {
  for (uint64_t seed = 1; seed <= schedules; ++seed) {
    OneTimeModel model(seed, rules, /*keep_steps=*/false);
    const std::string violation = model.Run();
    if (!violation.empty()) {
      OneTimeModel replay(seed, rules, /*keep_steps=*/true);
      replay.Run();
      std::string text = fmt::format("seed {}: {}", seed, violation);
      for (const std::string& step : replay.steps()) {
        text += "\n  " + step;
      }
      return text;
    }
    const OneTimeModel::Coverage& reached = model.coverage();
    totals->executed += reached.executed;
    totals->done += reached.done;
    totals->unknown += reached.unknown;
    totals->not_run_key += reached.not_run_key;
    totals->not_run_request += reached.not_run_request;
    totals->takeovers += reached.takeovers;
    totals->claim_takeovers += reached.claim_takeovers;
  }
  return "";
}

void ExpectViolation(ModelRules* rules) {
  OneTimeModel::Coverage totals;
  const std::string found = FindViolation(kMutantSchedules, rules, &totals);
  cr_assert(!found.empty(), "no schedule detected the mutant");
}

BeginDecision DispatchAnyway() {
  return {.kind = BeginDecision::Kind::kDispatch, .attempt = 1'000};
}

}  // namespace

// Guards against a second execution and against the outcome "not run" for a
// call that ran or runs later, under crashes, pauses, handovers, store outages
// and lost, delayed and duplicated messages.
Test(onetime_model, calls_run_at_most_once_and_not_run_is_final) {
  ModelRules rules;
  OneTimeModel::Coverage totals;
  const std::string found = FindViolation(kSchedules, &rules, &totals);
  cr_assert(found.empty(), "%s", found.c_str());
  fmt::print(
      stderr,
      "onetime model: {} schedules, {} executions, outcomes: {} done, {} "
      "unknown, {} not run (key), {} not run (request); {} sets "
      "taken over, {} claims taken over\n",
      kSchedules, totals.executed, totals.done, totals.unknown,
      totals.not_run_key, totals.not_run_request, totals.takeovers,
      totals.claim_takeovers);
  // The schedules must cover each of these cases.
  cr_assert(totals.executed > kSchedules / 4 && totals.done > kSchedules / 10 &&
            totals.not_run_key > kSchedules / 100 &&
            totals.not_run_request > kSchedules / 100 &&
            totals.takeovers > kSchedules / 100 &&
            totals.claim_takeovers > kSchedules / 1000);
}

Test(onetime_model, detects_owner_that_dispatches_after_it_sent_its_records) {
  struct : ModelRules {
    BeginDecision Begin(OneTimeRecords* records,
                        const OneTimeKey& key,
                        uint64_t request_digest,
                        TimePoint now) override {
      const BeginDecision decision = records->Begin(key, request_digest, now);
      const RecordSet* set = records->Find({key.owner, key.incarnation});
      return decision.kind == BeginDecision::Kind::kForward &&
                     !set->records().contains(RecordId::FromDigits(key.id))
                 ? DispatchAnyway()
                 : decision;
    }
  } rules;
  ExpectViolation(&rules);
}

Test(onetime_model, detects_dispatch_by_a_node_without_the_records) {
  struct : ModelRules {
    BeginDecision Begin(OneTimeRecords* records,
                        const OneTimeKey& key,
                        uint64_t request_digest,
                        TimePoint now) override {
      const BeginDecision decision = records->Begin(key, request_digest, now);
      return decision.reason == BeginReason::kOwnerGone ? DispatchAnyway()
                                                        : decision;
    }
  } rules;
  ExpectViolation(&rules);
}

// Guards against a key that is dispatched again after it was reported as not
// run.
Test(onetime_model, detects_dispatch_after_a_final_refusal) {
  struct : ModelRules {
    BeginDecision Begin(OneTimeRecords* records,
                        const OneTimeKey& key,
                        uint64_t request_digest,
                        TimePoint now) override {
      const BeginDecision decision = records->Begin(key, request_digest, now);
      return decision.reason == BeginReason::kRefusedByTargets
                 ? DispatchAnyway()
                 : decision;
    }
  } rules;
  ExpectViolation(&rules);
}

Test(onetime_model, detects_claim_written_without_version_condition) {
  struct : ModelRules {
    StoreVersion WriteCondition(StoreVersion /*asked*/,
                                StoreVersion current) override {
      return current;
    }
  } rules;
  ExpectViolation(&rules);
}

Test(onetime_model, detects_missing_attempt_guard) {
  struct : ModelRules {
    AttemptGuard::Decision Admit(AttemptGuard* /*guard*/,
                                 const AttemptId& /*id*/,
                                 uint64_t /*own_incarnation*/,
                                 TimePoint /*now*/) override {
      return AttemptGuard::Decision::kStart;
    }
  } rules;
  ExpectViolation(&rules);
}

Test(onetime_model, detects_guard_that_starts_attempts_of_earlier_process) {
  struct : ModelRules {
    AttemptGuard::Decision Admit(AttemptGuard* guard,
                                 const AttemptId& id,
                                 uint64_t own_incarnation,
                                 TimePoint now) override {
      AttemptId readdressed = id;
      readdressed.target_incarnation = own_incarnation;
      return guard->Admit(readdressed, now);
    }
  } rules;
  ExpectViolation(&rules);
}

Test(onetime_model, detects_refusal_that_the_guard_does_not_record) {
  struct : ModelRules {
    AttemptGuard::Decision RefuseUnlessSeen(AttemptGuard* guard,
                                            const AttemptId& id,
                                            TimePoint now) override {
      AttemptGuard copy = *guard;
      return copy.RefuseUnlessSeen(id, now);
    }
  } rules;
  ExpectViolation(&rules);
}

Test(onetime_model, detects_successor_that_uses_its_own_wall_clock) {
  struct : ModelRules {
    int64_t HandoverTime(int64_t sent_ms) override {
      return sent_ms - 3'600'000;
    }
  } rules;
  ExpectViolation(&rules);
}

Test(onetime_model, detects_second_successor_after_a_lost_commit) {
  struct : ModelRules {
    void OnHandoverReplyLost(HandoverSender* sender, TimePoint now) override {
      sender->OnReply(HandoverReply::kDraining, now);
    }
  } rules;
  ExpectViolation(&rules);
}

}  // namespace dragonflytack
