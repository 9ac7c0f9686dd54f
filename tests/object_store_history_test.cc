#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <criterion/criterion.h>

#include "dragonflytack/table/table_document.h"
#include "log_reader.h"
#include "object_store_fixture.h"
#include "store/store_era_tracker.h"

namespace dragonflytack::platform {

// Guards against a watch that starts again from a revision before the kept
// history, so that each watch gets 410 until the configuration changes.
Test(platform_object_store, watch_after_410_starts_from_the_present_revision) {
  StoreFixture fixture({{200, Configuration(7, 3, "roster")},
                        {410, ""},
                        {200, Listed(Configuration(7, 3, "roster"), 40)},
                        {200, R"({"events":[],"at":44})"},
                        {200, Event(Configuration(45, 5, "roster"), 45)}});
  cr_assert(fixture.Watch(0, Milliseconds(0)) == 3);
  cr_assert(fixture.Watch(3, Milliseconds(1000)) == 3);
  cr_assert(fixture.Watch(3, Milliseconds(1000)) == 3);
  cr_assert(fixture.Watch(3, Milliseconds(1000)) == 5);
  const std::vector<std::string> expected = {
      "GET /objects/config/main", "GET /objects/config?watch=7&wait_ms=1000",
      "GET /objects/config", "GET /objects/config?watch=40&wait_ms=1000",
      "GET /objects/config?watch=44&wait_ms=1000"};
  cr_expect(fixture.requests() == expected);
}

// Guards against a list that is taken as complete or valid although it is not,
// so that the watch starts after a change that was not read.
Test(platform_object_store, list_after_410_that_lacks_the_configuration) {
  const std::string invalid = ConfigurationWithVersion(39, "12", "roster");
  const struct {
    const char* name;
    StoreResponse list;
    const char* next_request;
    bool succeeds;
  } cases[] = {
      {"no configuration",
       {200, Listed("", 40)},
       "GET /objects/config?watch=40&wait_ms=1000",
       true},
      {"another name only",
       {200, Listed(R"({"metadata":{"name":"a","revision":5},"spec":{}})", 40)},
       "GET /objects/config?watch=40&wait_ms=1000",
       true},
      {"further pages",
       {200, Listed("", 40, true)},
       "GET /objects/config/main",
       false},
      {"invalid configuration",
       {200, Listed(invalid, 40)},
       "GET /objects/config/main",
       false},
      {"no revision",
       {200, R"({"items":[]})"},
       "GET /objects/config/main",
       false},
      {"no items", {200, R"({"at":40})"}, "GET /objects/config/main", false},
      {"busy", {503, ""}, "GET /objects/config/main", false},
  };
  for (const auto& test : cases) {
    StoreFixture fixture({{200, Configuration(7, 3, "roster")},
                          {410, ""},
                          test.list,
                          {200, Configuration(41, 3, "roster")}});
    cr_assert(fixture.Watch(0, Milliseconds(0)) == 3);
    cr_expect(fixture.Watch(3, Milliseconds(1000)).has_value() == test.succeeds,
              "%s", test.name);
    fixture.Watch(3, Milliseconds(1000));
    const std::vector<std::string> requests = fixture.requests();
    cr_assert_geq(requests.size(), 4, "%s", test.name);
    cr_expect(requests[3] == test.next_request, "%s: %s", test.name,
              requests[3].c_str());
  }
}

// Guards against a change that is never reported because the caller had stopped
// watching when its event arrived, and the next watch starts after the event.
Test(platform_object_store, change_that_was_not_taken_is_reported_again) {
  StoreFixture fixture({{200, Configuration(7, 3, "roster")},
                        {200, Event(Configuration(15, 5, "roster"), 16)},
                        {200, R"({"events":[],"at":18})"}});
  cr_assert(fixture.Watch(0, Milliseconds(0)) == 3);
  cr_assert(fixture.store_.TakePrefetched("table").has_value());
  cr_assert(fixture.Watch(3, Milliseconds(1000)) == 5);
  bool called = false;
  fixture.store_.Watch("table", 3, Milliseconds(1000),
                       [&](auto, const Failure&) { called = true; });
  cr_expect(!called, "the callback ran inside of the call");
  cr_assert(fixture.Watch(3, Milliseconds(1000)) == 5);
  cr_expect(called);
  cr_expect(fixture.store_.TakePrefetched("table")->version == 5);
  // A caller that has got the version elsewhere waits for the next one.
  cr_assert(fixture.Watch(5, Milliseconds(1000)) == 5);
  cr_expect(fixture.requests().back() ==
            "GET /objects/config?watch=16&wait_ms=1000");
}

// Guards against a single response with a far too high era, after which all
// responses count as lost until the process restarts.
Test(platform_object_store, era_that_was_too_high_is_corrected) {
  LogReader log;
  std::vector<StoreResponse> responses = {{404, "", "2"}, {503, "", "99"}};
  responses.resize(40, {200, StateObject(9), "2"});
  StoreFixture fixture(std::move(responses));
  cr_assert(fixture.Get("seeds").has_value());
  cr_assert_not(fixture.Get("seeds").has_value());
  cr_assert(fixture.store_.era() == 99);
  int lost = 0;
  while (lost < 30 && !fixture.Get("seeds").has_value()) {
    cr_expect(fixture.reason_.code == FailureCode::kStoreTimeout);
    ++lost;
    std::this_thread::sleep_for(Milliseconds(200));
  }
  cr_assert(fixture.store_.era() == 2, "%d responses were lost", lost);
  cr_expect_geq(lost, StoreEraTracker::kMinContradictions - 1);
  const auto lines = log.Find("store_era_corrected");
  cr_assert_eq(lines.size(), 1);
  cr_expect(lines[0]["from"] == 99 && lines[0]["to"] == 2);
  cr_expect(fixture.Get("seeds").has_value());
}

// Guards against a second content of a known version that the node never sees,
// because the version does not change, and against one that is handed over
// although it is the same.
Test(platform_object_store, other_content_of_the_known_version_is_handed_over) {
  StoreFixture fixture(
      {{200, Configuration(40, 13, "roster"), "1"},
       {200, Event(Configuration(41, 13, "roster"), 41), "1"},
       {200, Event(Configuration(42, 13, "booking"), 42), "1"},
       {200, Event(Configuration(43, 13, "booking"), 43), "1"},
       {410, "", "2"},
       {200, Listed(Configuration(30, 13, "roster"), 44), "2"},
       {200, Event(Configuration(45, 12, "booking"), 45), "2"}});
  cr_assert(fixture.Watch(0, Milliseconds(0)) == 13);
  cr_assert(fixture.store_.TakePrefetched("table").has_value());
  const struct {
    const char* name;
    const char* service;  // Null if no object is handed over.
  } cases[] = {{"the same", nullptr},
               {"another content", "booking"},
               {"another content again", nullptr},
               {"the first content after a return", "roster"},
               {"an earlier version", nullptr}};
  for (const auto& test : cases) {
    cr_expect(fixture.Watch(13, Milliseconds(1000)) == 13, "%s", test.name);
    const std::optional<StoreObject> object =
        fixture.store_.TakePrefetched("table");
    cr_assert(object.has_value() == (test.service != nullptr), "%s", test.name);
    if (object) {
      cr_expect_eq(object->version, 13);
      cr_expect(
          object->document->routes.at("r").shares.at(0).service == test.service,
          "%s", test.name);
    }
  }
}

}  // namespace dragonflytack::platform
