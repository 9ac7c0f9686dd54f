#include "onetime_model.h"

#include <string>

#include <criterion/criterion.h>
#include <fmt/format.h>

namespace dragonflytack {

namespace {

constexpr uint64_t kSchedules = 100'000;
// Each mutant is to be found within a tenth of the schedules.
constexpr uint64_t kMutantSchedules = 10'000;

// Returns the first violation with its seed and steps, empty when there is
// none.
std::string Search(uint64_t schedules,
                   ModelRules* rules,
                   OneTimeModel::Coverage* sum) {
  for (uint64_t seed = 1; seed <= schedules; ++seed) {
    OneTimeModel model(seed, rules, /*keep_steps=*/false);
    const std::string violation = model.Run();
    if (!violation.empty()) {
      OneTimeModel again(seed, rules, /*keep_steps=*/true);
      again.Run();
      std::string text = fmt::format("seed {}: {}", seed, violation);
      for (const std::string& step : again.steps()) {
        text += "\n  " + step;
      }
      return text;
    }
    const OneTimeModel::Coverage& one = model.coverage();
    sum->executed += one.executed;
    sum->done += one.done;
    sum->unknown += one.unknown;
    sum->not_run_key += one.not_run_key;
    sum->not_run_request += one.not_run_request;
    sum->inherited += one.inherited;
    sum->taken_over += one.taken_over;
  }
  return "";
}

void ExpectFound(ModelRules* rules) {
  OneTimeModel::Coverage sum;
  const std::string found = Search(kMutantSchedules, rules, &sum);
  cr_assert(!found.empty(), "the mutant was not found");
}

BeginDecision DispatchAnyway() {
  return {.kind = BeginDecision::Kind::kDispatch, .attempt = 1'000};
}

}  // namespace

// Guards against a second execution and against an answer "not run" for a call
// that ran or runs later, under crashes, pauses, handovers, store outages and
// lost, delayed and duplicated messages.
Test(onetime_model, runs_at_most_once_and_refuses_truly) {
  ModelRules rules;
  OneTimeModel::Coverage sum;
  const std::string found = Search(kSchedules, &rules, &sum);
  cr_assert(found.empty(), "%s", found.c_str());
  fmt::print(stderr,
             "onetime model: {} schedules, {} executions, answers: {} done, {} "
             "unknown, {} not run (key), {} not run (request); {} sets "
             "inherited, {} claims taken over\n",
             kSchedules, sum.executed, sum.done, sum.unknown, sum.not_run_key,
             sum.not_run_request, sum.inherited, sum.taken_over);
  // Guards against a model that no longer reaches the cases it checks.
  cr_assert(sum.executed > kSchedules / 4 && sum.done > kSchedules / 10 &&
            sum.not_run_key > kSchedules / 100 &&
            sum.not_run_request > kSchedules / 100 &&
            sum.inherited > kSchedules / 100 &&
            sum.taken_over > kSchedules / 1000);
}

Test(onetime_model, finds_home_that_dispatches_after_it_sent_its_records) {
  struct : ModelRules {
    BeginDecision Begin(OneTimeRecords* records,
                        const OneTimeKey& key,
                        uint64_t request,
                        TimePoint now) override {
      const BeginDecision decision = records->Begin(key, request, now);
      const RecordSet* set = records->Find({key.owner, key.incarnation});
      return decision.kind == BeginDecision::Kind::kForward &&
                     !set->records().contains(RecordId::FromDigits(key.id))
                 ? DispatchAnyway()
                 : decision;
    }
  } rules;
  ExpectFound(&rules);
}

Test(onetime_model, finds_takeover_without_a_handover) {
  struct : ModelRules {
    BeginDecision Begin(OneTimeRecords* records,
                        const OneTimeKey& key,
                        uint64_t request,
                        TimePoint now) override {
      const BeginDecision decision = records->Begin(key, request, now);
      return decision.reason == BeginReason::kOwnerGone ? DispatchAnyway()
                                                        : decision;
    }
  } rules;
  ExpectFound(&rules);
}

// The design page's first version allowed a key to be dispatched again after
// the answer "not run".
Test(onetime_model, finds_dispatch_after_a_final_refusal) {
  struct : ModelRules {
    BeginDecision Begin(OneTimeRecords* records,
                        const OneTimeKey& key,
                        uint64_t request,
                        TimePoint now) override {
      const BeginDecision decision = records->Begin(key, request, now);
      return decision.reason == BeginReason::kRefusedByTargets
                 ? DispatchAnyway()
                 : decision;
    }
  } rules;
  ExpectFound(&rules);
}

Test(onetime_model, finds_claim_without_the_condition) {
  struct : ModelRules {
    StoreVersion Condition(StoreVersion /*asked*/,
                           StoreVersion current) override {
      return current;
    }
  } rules;
  ExpectFound(&rules);
}

Test(onetime_model, finds_missing_guard_beside_the_target) {
  struct : ModelRules {
    AttemptGuard::Decision Admit(AttemptGuard* /*guard*/,
                                 const AttemptId& /*id*/,
                                 uint64_t /*own_incarnation*/,
                                 TimePoint /*now*/) override {
      return AttemptGuard::Decision::kStart;
    }
  } rules;
  ExpectFound(&rules);
}

Test(onetime_model, finds_guard_that_starts_attempts_of_an_earlier_process) {
  struct : ModelRules {
    AttemptGuard::Decision Admit(AttemptGuard* guard,
                                 const AttemptId& id,
                                 uint64_t own_incarnation,
                                 TimePoint now) override {
      AttemptId any = id;
      any.target_incarnation = own_incarnation;
      return guard->Admit(any, now);
    }
  } rules;
  ExpectFound(&rules);
}

Test(onetime_model, finds_promise_that_is_not_remembered) {
  struct : ModelRules {
    AttemptGuard::Decision Settle(AttemptGuard* guard,
                                  const AttemptId& id,
                                  TimePoint now) override {
      AttemptGuard copy = *guard;
      return copy.Settle(id, now);
    }
  } rules;
  ExpectFound(&rules);
}

Test(onetime_model, finds_successor_that_trusts_its_own_wall_clock) {
  struct : ModelRules {
    int64_t HandoverTime(int64_t sent_ms) override {
      return sent_ms - 3'600'000;
    }
  } rules;
  ExpectFound(&rules);
}

Test(onetime_model, finds_second_successor_after_a_lost_commit) {
  struct : ModelRules {
    void HandoverLost(HandoverSender* sender, TimePoint now) override {
      sender->OnReply(HandoverReply::kDraining, now);
    }
  } rules;
  ExpectFound(&rules);
}

}  // namespace dragonflytack
