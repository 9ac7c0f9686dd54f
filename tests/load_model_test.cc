// The choice of targets in the model of load_model.h. Bounds are those of
// docs/design/README.md, section 5: p99 of the wait within 1.3 times that of a
// chooser with complete information and busiest to mean below 1.2, both at 90%
// of the room.

#include <algorithm>

#include <criterion/criterion.h>

#include "load_model.h"

namespace dragonflytack::load_model {

namespace {

// The constants of TargetLoadModel were chosen with the seeds 1 to 3, so the
// tests use others.
constexpr int kFirstSeed = 101;
constexpr int kSeeds = 6;
constexpr double kMaxWaitRatio = 1.3;
constexpr double kMaxBusiestToMean = 1.2;

// Means over kSeeds seeds.
Figures Run(const Pattern& pattern, const ChooserFactory& factory) {
  Figures mean;
  for (int seed = kFirstSeed; seed < kFirstSeed + kSeeds; ++seed) {
    const Figures figures = LoadModel(pattern, seed).Run(factory);
    mean.busiest_to_mean += figures.busiest_to_mean / kSeeds;
    mean.wait_p50 += figures.wait_p50 / kSeeds;
    mean.wait_p99 += figures.wait_p99 / kSeeds;
    mean.oscillation += figures.oscillation / kSeeds;
    mean.left_region += figures.left_region / kSeeds;
    mean.first_target_share += figures.first_target_share / kSeeds;
    mean.first_target_share_at_once +=
        figures.first_target_share_at_once / kSeeds;
  }
  return mean;
}

// Checks the wait against that with complete information.
void ExpectWaitWithinAim(const Pattern& pattern) {
  const Figures product = Run(pattern, MakeProduct);
  const Figures oracle = Run(pattern, MakeOracle);
  cr_expect(product.wait_p99 <= kMaxWaitRatio * oracle.wait_p99,
            "p99 of the wait %.0f ms, with complete information %.0f ms: %.2f "
            "times; left the region: %.3f and %.3f",
            product.wait_p99, oracle.wait_p99,
            product.wait_p99 / oracle.wait_p99, product.left_region,
            oracle.left_region);
}

Pattern WithTargets(int targets, int slots, int nodes) {
  Pattern pattern;
  pattern.targets = targets;
  pattern.slots = slots;
  pattern.nodes = nodes;
  return pattern;
}

}  // namespace

// These guard against calls that queue at targets whose load is known too late
// while others are idle.
Test(load_model, wait_with_7_targets) {
  ExpectWaitWithinAim(WithTargets(7, 18, 60));
}

Test(load_model, wait_with_32_targets) {
  ExpectWaitWithinAim(WithTargets(32, 9, 72));
}

Test(load_model, wait_with_33_targets_of_18_slots) {
  ExpectWaitWithinAim(WithTargets(33, 18, 90));
}

Test(load_model, wait_with_64_targets) {
  ExpectWaitWithinAim(WithTargets(64, 9, 90));
}

Test(load_model, wait_with_a_slow_target) {
  Pattern pattern;
  pattern.has_slow_target = true;
  ExpectWaitWithinAim(pattern);
}

Test(load_model, wait_with_a_failing_target) {
  Pattern pattern;
  pattern.has_failing_target = true;
  ExpectWaitWithinAim(pattern);
}

Test(load_model, wait_with_a_cold_target) {
  Pattern pattern;
  pattern.has_cold_target = true;
  ExpectWaitWithinAim(pattern);
}

Test(load_model, wait_with_a_false_report) {
  Pattern pattern;
  pattern.has_false_target = true;
  ExpectWaitWithinAim(pattern);
}

Test(load_model, wait_with_three_times_the_demand_in_one_zone) {
  Pattern pattern;
  pattern.zone_factor = 3;
  ExpectWaitWithinAim(pattern);
}

// Guards against targets that are overloaded while others have room.
Test(load_model, busiest_target_is_near_the_mean) {
  for (const Pattern& pattern :
       {WithTargets(7, 18, 60), WithTargets(32, 9, 72), WithTargets(33, 18, 90),
        WithTargets(64, 9, 90)}) {
    const double ratio = Run(pattern, MakeProduct).busiest_to_mean;
    cr_expect(ratio < kMaxBusiestToMean, "%d targets: %.3f", pattern.targets,
              ratio);
  }
}

// Guards against a target that attracts calls because it fails them at once: it
// reports few calls and frees its slots early.
Test(load_model, fast_failures_attract_no_calls) {
  for (const double load : {0.7, 0.9}) {
    Pattern pattern;
    pattern.has_failing_target = true;
    pattern.load = load;
    const double share = Run(pattern, MakeProduct).first_target_share;
    cr_expect(share < 1, "load %.1f: %.2f of an even share", load, share);
  }
}

// Guards against a target that attracts calls by a false report. Without the
// report of the target itself, a score may differ by half.
Test(load_model, false_report_changes_a_share_by_at_most_half) {
  for (const double load : {0.7, 0.9}) {
    Pattern pattern;
    pattern.load = load;
    const double honest = Run(pattern, MakeProduct).first_target_share;
    pattern.has_false_target = true;
    const double with_false_report =
        Run(pattern, MakeProduct).first_target_share;
    cr_expect(with_false_report <= 1.5 * honest,
              "load %.1f: %.2f of an even share, %.2f before", load,
              with_false_report, honest);
  }
}

// Guards against a target that gets its full share of calls, or more, when it
// joins cold. In its first second the warm-up weight is 0.1 to 0.19.
Test(load_model, cold_target_starts_with_few_calls) {
  for (const double load : {0.7, 0.9}) {
    Pattern pattern;
    pattern.has_cold_target = true;
    pattern.load = load;
    const Figures figures = Run(pattern, MakeProduct);
    cr_expect(figures.first_target_share_at_once < 0.5,
              "load %.1f: %.2f of an even share at once", load,
              figures.first_target_share_at_once);
    cr_expect(figures.first_target_share > 0.5,
              "load %.1f: %.2f of an even share later", load,
              figures.first_target_share);
  }
}

}  // namespace dragonflytack::load_model
