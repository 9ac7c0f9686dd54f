#include "store/store_era_tracker.h"

#include <vector>

#include <criterion/criterion.h>

namespace dragonflytack {

namespace {

using Result = StoreEraTracker::Result;

TimePoint At(int ms) {
  return TimePoint() + Milliseconds(ms);
}

}  // namespace

// Guards against responses from before a return of the store, or a few wrong
// ones, that make a node forget the return, and against a wrong era that stays.
Test(platform_store_era_tracker, era_is_corrected_by_later_requests_only) {
  struct Response {
    uint64_t era;
    int sent_at_ms;
    int received_at_ms;
  };
  // The era 2 is known at 100 ms and the era 9 at 1,000 ms.
  const struct {
    const char* name;
    std::vector<Response> responses;
    uint64_t era;
  } cases[] = {
      {"three over two seconds",
       {{2, 1'001, 1'002}, {2, 2'000, 2'001}, {2, 3'000, 3'002}},
       2},
      {"many in less than two seconds",
       {{2, 1'001, 1'002},
        {2, 1'010, 1'011},
        {2, 1'020, 1'021},
        {2, 2'000, 2'001},
        {2, 3'000, 3'001}},
       9},
      {"two", {{2, 1'001, 1'002}, {2, 9'000, 9'001}}, 9},
      {"sent before the era was known",
       {{2, 900, 1'100}, {2, 950, 2'500}, {2, 1'000, 4'000}, {2, 999, 6'000}},
       9},
      {"one sent before",
       {{2, 900, 1'100}, {2, 1'001, 2'500}, {2, 1'002, 5'000}},
       9},
      {"the known era in between",
       {{2, 1'001, 1'002},
        {2, 2'000, 2'001},
        {9, 2'500, 2'501},
        {2, 3'000, 3'002},
        {2, 4'000, 4'001}},
       9},
      {"a falling era",
       {{3, 1'001, 1'002}, {3, 2'000, 2'001}, {2, 3'000, 3'002}},
       9},
      {"a return meanwhile",
       {{2, 1'001, 1'002}, {3, 2'000, 2'001}, {3, 3'000, 3'002}},
       3},
      {"a higher era meanwhile",
       {{2, 1'001, 1'002},
        {10, 2'000, 2'001},
        {2, 3'000, 3'002},
        {2, 4'000, 4'001}},
       10},
  };
  for (const auto& test : cases) {
    StoreEraTracker tracker;
    cr_assert(tracker.Record(2, At(0), At(100)) == Result::kCurrent);
    cr_assert(tracker.Record(9, At(900), At(1'000)) == Result::kRaised);
    for (const Response& response : test.responses) {
      const uint64_t known = *tracker.era();
      const Result result = tracker.Record(
          response.era, At(response.sent_at_ms), At(response.received_at_ms));
      const Result expected = response.era > known     ? Result::kRaised
                              : response.era == known  ? Result::kCurrent
                              : tracker.era() == known ? Result::kOutdated
                                                       : Result::kCorrected;
      cr_expect(result == expected, "%s, %d ms", test.name,
                response.received_at_ms);
    }
    cr_expect(tracker.era() == test.era, "%s: era %lu", test.name,
              *tracker.era());
  }
}

// Guards against an era that was wrong in the first response of all and stays.
Test(platform_store_era_tracker, first_era_is_corrected_as_well) {
  StoreEraTracker tracker;
  cr_assert(tracker.Record(99, At(0), At(1)) == Result::kCurrent);
  cr_expect(tracker.Record(1, At(2), At(3)) == Result::kOutdated);
  cr_expect(tracker.Record(1, At(1'000), At(1'001)) == Result::kOutdated);
  cr_expect(tracker.Record(1, At(2'002), At(2'003)) == Result::kCorrected);
  cr_expect(tracker.Record(1, At(2'004), At(2'005)) == Result::kCurrent);
  cr_expect(tracker.Record(2, At(2'006), At(2'007)) == Result::kRaised);
}

}  // namespace dragonflytack
