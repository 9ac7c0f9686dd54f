#include "rollout/rollout_judge.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace dragonflytack {

namespace {

// Error probability of one test. A roll-out makes some 30 tests for each route,
// mostly on the same calls.
constexpr double kFaultLevel = 1e-5;
// Error probability of the last tests, at full share, where a bad release has
// shown itself on some hundred calls.
constexpr double kFinalFaultLevel = 2e-5;
// A bad share below this multiple of the old release's is no fault, however
// certain it is: hosts of one service differ by up to that.
constexpr double kMinFaultRatio = 1.5;
constexpr uint64_t kMinBadResponses = 3;
// Calls of the old release that show that the service is in use, so that a
// release without a call is not completed.
constexpr uint64_t kMinOldResponses = 20;
// Run times of the old release that are needed for its median.
constexpr uint64_t kMinRunTimes = 20;
// A run time counts as slow from 2.8 times the old release's median on the
// route: targets of one service differ in speed by up to 2.7.
constexpr int kSlowBuckets = 6;
// The slow calls of a bad release exceed those of the old one by at least this
// part of its calls. Without a minimum, releases on a few slow hosts of a
// service were rolled back in 1.6% of the simulated cases.
constexpr double kMinSlowExcess = 0.2;

// Responses beyond the old release's rates from which on the time for a
// rollback is counted. It is below the 50 of the setting, because only a part
// of the slow calls is above the threshold: with 25, 6 of 3,000 simulated
// roll-outs with few slow calls were rolled back too late.
constexpr double kUrgentExcess = 15;
// The tests when the time for a rollback is nearly over.
constexpr double kUrgentFaultLevel = 1e-4;
constexpr double kUrgentSlowExcess = 0.08;
// Age of the evidence at a decision: the interval of the requests.
constexpr Milliseconds kEvidenceTime{500};

// Time from the last step to the deadline: the full share time, and what the
// writes and polls take. More of it if the exposure permits, up to kMaxLead.
constexpr Milliseconds kMinLead{1300};
constexpr Milliseconds kMaxLead{3000};
// Part of the permitted exposure that the last step may use for more than
// kMinLead.
constexpr double kLeadExposure = 0.6;
// Part of a short roll-out that the last step may take.
constexpr double kMaxLeadPart = 0.4;
// Part of the permitted exposure that is used; the calls of a second vary.
constexpr double kBudgetMargin = 0.9;
// Time until a step is in force on most nodes.
constexpr Milliseconds kPropagationTime{200};
// Part of the small steps' budget for the first step.
constexpr double kFirstStepPart = 0.7;
// A further small step follows only if it is this much larger.
constexpr double kMinStepRatio = 1.3;
constexpr int kMaxSmallShare = 300;
// Time between small steps and before the last one, in which the evidence of a
// share arrives. Without it, five steps followed each other within a second
// when little time was left.
constexpr Milliseconds kMinStepTime{1'500};
// Evidence that shows the rate of a service.
constexpr Milliseconds kMinRateTime{400};

// Probability of at least `bad` bad responses in `all` if the rate is that of
// the old release, whose evidence leaves it uncertain (beta-binomial
// distribution with Jeffreys prior).
double TailProbability(uint64_t bad,
                       uint64_t all,
                       uint64_t old_bad,
                       uint64_t old_all) {
  if (bad == 0) {
    return 1;
  }
  const double a = static_cast<double>(old_bad) + 0.5;
  const double b = static_cast<double>(old_all - old_bad) + 0.5;
  const auto n = static_cast<double>(all);
  auto j = static_cast<double>(bad);
  double term = std::exp(std::lgamma(n + 1) - std::lgamma(j + 1) -
                         std::lgamma(n - j + 1) + std::lgamma(j + a) +
                         std::lgamma(n - j + b) - std::lgamma(n + a + b) +
                         std::lgamma(a + b) - std::lgamma(a) - std::lgamma(b));
  double sum = 0;
  for (; j <= n; ++j) {
    sum += term;
    if (term < sum * 1e-9) {
      break;
    }
    term *= (n - j) / (j + 1) * (j + a) / (n - j - 1 + b);
  }
  return sum;
}

uint64_t SumOf(const std::map<int, uint64_t>& buckets, int from) {
  return std::accumulate(
      buckets.lower_bound(from), buckets.end(), uint64_t{0},
      [](uint64_t sum, const auto& item) { return sum + item.second; });
}

int MedianBucket(const std::map<int, uint64_t>& buckets, uint64_t all) {
  uint64_t below = 0;
  for (const auto& [bucket, count] : buckets) {
    below += count;
    if (2 * below >= all) {
      return bucket;
    }
  }
  return 0;
}

uint64_t Increase(uint64_t before, uint64_t after) {
  // A lower number is that of a new process.
  return after >= before ? after - before : after;
}

}  // namespace

void RolloutJudge::AddIncrease(
    const std::map<std::string, RouteEvidence>& before,
    const std::map<std::string, RouteEvidence>& after,
    std::map<std::string, RouteEvidence>* sum) {
  static const RouteEvidence none;
  for (const auto& [name, route] : after) {
    const auto found = before.find(name);
    const RouteEvidence& old = found == before.end() ? none : found->second;
    RouteEvidence& total = (*sum)[name];
    const bool restarted = route.responses < old.responses;
    const RouteEvidence& base = restarted ? none : old;
    total.responses += route.responses - base.responses;
    total.failures += Increase(base.failures, route.failures);
    for (const auto& [bucket, count] : route.run_times) {
      const auto base_count = base.run_times.find(bucket);
      total.run_times[bucket] += Increase(
          base_count == base.run_times.end() ? 0 : base_count->second, count);
    }
  }
}

void RolloutJudge::OnUnchanged(Milliseconds elapsed) {
  last_evidence_ = std::max(last_evidence_, elapsed);
}

void RolloutJudge::Add(const NodeId& target,
                       bool is_new,
                       const ReleaseEvidence& evidence,
                       Milliseconds elapsed) {
  if (first_evidence_ < Milliseconds::zero()) {
    first_evidence_ = elapsed;
  }
  last_evidence_ = std::max(last_evidence_, elapsed);
  const auto [position, is_first] = targets_.try_emplace(target);
  Target& known = position->second;
  if (is_first || known.is_new != is_new) {
    // What an old target counted before the order is not part of the roll-out.
    // A new one got its first call after the order.
    known = Target{is_new, is_new ? ReleaseEvidence{} : evidence, {}};
  }
  AddIncrease(known.last.routes, evidence.routes, &known.sum);
  AddIncrease(known.last.routes, evidence.routes,
              &sides_[is_new ? 1 : 0].routes);
  known.last = evidence;
}

RolloutJudge::Totals RolloutJudge::totals(bool is_new) const {
  Totals totals;
  for (const auto& [name, route] : sides_[is_new ? 1 : 0].routes) {
    totals.responses += route.responses;
    totals.failures += route.failures;
  }
  return totals;
}

template <typename Counter>
RolloutJudge::Count RolloutJudge::CountNew(const Counter& counter) const {
  Count sum;
  Count worst;
  uint64_t second = 0;
  size_t targets = 0;
  for (const auto& [id, target] : targets_) {
    const Count count = target.is_new ? counter(target) : Count{};
    if (count.all == 0) {
      continue;
    }
    ++targets;
    sum.bad += count.bad;
    sum.all += count.all;
    second = std::max(second, std::min(worst.bad, count.bad));
    if (count.bad > worst.bad) {
      worst = count;
    }
  }
  // One suspended host times out as many calls as it has slots, whatever its
  // release, so the worst target counts for little more than the next one.
  // If the others have few calls, because the nodes beside them restart, their
  // rate is what counts.
  const Count others{sum.bad - worst.bad, sum.all - worst.all};
  const uint64_t limit =
      std::max(second, static_cast<uint64_t>(static_cast<double>(worst.all) *
                                             others.Rate())) +
      1;
  if (targets > 1 && worst.bad > limit) {
    sum.bad -= worst.bad - limit;
  }
  return sum;
}

std::vector<RolloutJudge::Comparison> RolloutJudge::Compare() const {
  const auto failures_of = [](const RouteEvidence& route) {
    return Count{route.failures, route.responses};
  };
  const Totals old_totals = totals(false);
  std::vector<Comparison> comparisons;
  comparisons.push_back({"failures",
                         CountNew([&](const Target& target) {
                           Count sum;
                           for (const auto& [name, route] : target.sum) {
                             sum.bad += failures_of(route).bad;
                             sum.all += failures_of(route).all;
                           }
                           return sum;
                         }),
                         {old_totals.failures, old_totals.responses}});
  Comparison slow_sum{"slow", {}, {}, /*is_slowness=*/true};
  for (const auto& [name, new_route] : sides_[1].routes) {
    const auto find_in = [&route_name = name](const Target& target) {
      const auto found = target.sum.find(route_name);
      return found == target.sum.end() ? RouteEvidence{} : found->second;
    };
    static const RouteEvidence none;
    const auto found = sides_[0].routes.find(name);
    const RouteEvidence& old_route =
        found == sides_[0].routes.end() ? none : found->second;
    comparisons.push_back({"failures on route " + name,
                           CountNew([&](const Target& target) {
                             return failures_of(find_in(target));
                           }),
                           failures_of(old_route)});
    const uint64_t old_all = SumOf(old_route.run_times, 0);
    if (old_all < kMinRunTimes) {
      continue;
    }
    const int slow = MedianBucket(old_route.run_times, old_all) + kSlowBuckets;
    const Count slow_calls = CountNew([&](const Target& target) {
      const RouteEvidence route = find_in(target);
      return Count{SumOf(route.run_times, slow), SumOf(route.run_times, 0)};
    });
    const Count old_slow{SumOf(old_route.run_times, slow), old_all};
    comparisons.push_back({"slow on route " + name, slow_calls, old_slow,
                           /*is_slowness=*/true});
    slow_sum.now.Add(slow_calls);
    slow_sum.before.Add(old_slow);
  }
  comparisons.push_back(std::move(slow_sum));
  return comparisons;
}

double RolloutJudge::Comparison::Excess() const {
  return static_cast<double>(now.bad) -
         static_cast<double>(now.all) * before.Rate();
}

bool RolloutJudge::Comparison::IsFault(double level,
                                       double min_slow_excess) const {
  const double min_excess = is_slowness ? min_slow_excess : 0;
  return now.bad >= kMinBadResponses &&
         now.Rate() > kMinFaultRatio * before.Rate() &&
         now.Rate() > before.Rate() + min_excess &&
         TailProbability(now.bad, now.all, before.bad, before.all) < level;
}

std::string RolloutJudge::FindFault(bool is_full, Milliseconds elapsed) {
  const std::vector<Comparison> comparisons = Compare();
  // The first comparison is that of all failures, the last one that of all slow
  // calls.
  const double excess = std::max(0.0, comparisons.front().Excess()) +
                        std::max(0.0, comparisons.back().Excess());
  if (excess < kUrgentExcess) {
    excess_since_.reset();
  } else if (!excess_since_) {
    excess_since_ = elapsed;
  }
  const bool is_urgent =
      excess_since_ && elapsed - *excess_since_ >=
                           limits_.rollback - kSharePropagation - kEvidenceTime;
  const double level = is_urgent ? kUrgentFaultLevel
                       : is_full ? kFinalFaultLevel
                                 : kFaultLevel;
  const double min_slow_excess = is_urgent ? kUrgentSlowExcess : kMinSlowExcess;
  const auto fault =
      std::find_if(comparisons.begin(), comparisons.end(),
                   [&](const Comparison& comparison) {
                     return comparison.IsFault(level, min_slow_excess);
                   });
  return fault == comparisons.end() ? "" : fault->cause;
}

double RolloutJudge::Rate() const {
  const Milliseconds time = last_evidence_ - first_evidence_;
  if (time < kMinRateTime) {
    return -1;
  }
  return static_cast<double>(totals(false).responses + totals(true).responses) /
         std::chrono::duration<double>(time).count();
}

Milliseconds RolloutJudge::FullShareStart() const {
  const std::chrono::duration<double> duration = limits_.duration;
  const std::chrono::duration<double> lead =
      std::clamp<std::chrono::duration<double>>(
          kLeadExposure * limits_.exposure * duration, kMinLead, kMaxLead);
  return std::chrono::floor<Milliseconds>(
      duration - std::min(lead, kMaxLeadPart * duration));
}

double RolloutJudge::SmallStepBudget(double rate) const {
  const double duration =
      std::chrono::duration<double>(limits_.duration).count();
  const double full =
      std::chrono::duration<double>(limits_.duration - FullShareStart() -
                                    kPropagationTime)
          .count();
  return kBudgetMargin *
             (limits_.exposure * rate * duration + limits_.exposure_slack) -
         rate * full;
}

RolloutJudge::Verdict RolloutJudge::Decide(const State& state) {
  const bool is_full = state.share >= kFullShare;
  std::string fault = FindFault(is_full, state.elapsed);
  if (!fault.empty()) {
    return {Decision::kRollBack, 0, std::move(fault)};
  }
  if (!state.has_new_target) {
    return state.elapsed < limits_.duration
               ? Verdict{}
               : Verdict{Decision::kRollBack, 0,
                         "no target of the release before the deadline"};
  }
  if (is_full) {
    return {state.share_age >= kFullShareTime ? Decision::kComplete
                                              : Decision::kKeep,
            kFullShare, ""};
  }
  if (state.elapsed >= FullShareStart()) {
    if (totals(true).responses == 0 &&
        totals(false).responses >= kMinOldResponses) {
      return state.elapsed < limits_.duration
                 ? Verdict{}
                 : Verdict{Decision::kRollBack, 0,
                           "no call of the release before the deadline"};
    }
    return {Decision::kStep, kFullShare, ""};
  }
  const double rate = Rate();
  if (rate < 0) {
    return {};
  }
  const double left =
      rate *
      std::chrono::duration<double>(FullShareStart() - state.elapsed).count();
  const double budget =
      SmallStepBudget(rate) - static_cast<double>(totals(true).responses);
  const double part = state.share == 0 ? kFirstStepPart : 1;
  const int share = static_cast<int>(
      std::clamp(kFullShare * part * budget / std::max(left, 1.0), 1.0,
                 static_cast<double>(kMaxSmallShare)));
  const bool may_step =
      state.share == 0 || (state.elapsed >= limits_.duration / 2 &&
                           state.share_age >= kMinStepTime &&
                           FullShareStart() - state.elapsed >= kMinStepTime &&
                           share >= kMinStepRatio * state.share);
  return may_step ? Verdict{Decision::kStep, share, ""} : Verdict{};
}

}  // namespace dragonflytack
