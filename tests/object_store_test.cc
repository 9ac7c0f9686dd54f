#include "platform/object_store.h"

#include <optional>
#include <string>
#include <vector>

#include <criterion/criterion.h>

#include "dragonflytack/table/table_document.h"
#include "log_reader.h"
#include "object_store_fixture.h"

namespace dragonflytack::platform {

// Guards against a change that is missed because its event is invalid and the
// watch continues after it.
Test(platform_object_store, invalid_event_fails_the_watch) {
  StoreFixture fixture({{200, Configuration(7, 7, "roster")},
                        {200, Event(R"({"metadata":{"name":"main"}})", 9)}});
  cr_assert(fixture.Watch(0, Milliseconds(0)) == 7);
  cr_assert_not(fixture.Watch(7, Milliseconds(100)).has_value());
  cr_assert(fixture.reason_.code == FailureCode::kStoreTimeout);
}

// Guards against a second request for a configuration that an earlier response
// contained, and against a watch that starts from a wrong revision.
Test(platform_object_store, watch_responses_prefetch_the_table) {
  StoreFixture fixture({{200, Configuration(7, 3, "roster")},
                        {200, R"({"events":[],"at":12})"},
                        {200, Event(Configuration(15, 5, "roster"), 16)}});
  cr_assert(fixture.Watch(0, Milliseconds(0)) == 3);
  const std::optional<StoreObject> first =
      fixture.store_.TakePrefetched("table");
  cr_assert(first.has_value() && first->version == 3);
  cr_assert(first->document != nullptr);
  cr_expect(first->document->routes.at("r").host == "h.example");
  cr_expect(!fixture.store_.TakePrefetched("table").has_value());
  cr_assert(fixture.Watch(3, Milliseconds(30'000)) == 3);
  cr_assert(fixture.Watch(3, Milliseconds(30'000)) == 5);
  cr_expect(fixture.store_.TakePrefetched("table")->version == 5);
  const std::vector<std::string> expected = {
      "GET /objects/config/main", "GET /objects/config?watch=7&wait_ms=1250",
      "GET /objects/config?watch=12&wait_ms=1250"};
  cr_expect(fixture.requests() == expected);
}

// Guards against a node that waits for changes that the store has dropped from
// its history.
Test(platform_object_store, reads_the_object_if_the_history_was_dropped) {
  StoreFixture fixture({{200, Configuration(7, 3, "roster")},
                        {410, ""},
                        {200, Listed(Configuration(40, 9, "roster"), 40)}});
  cr_assert(fixture.Watch(0, Milliseconds(0)) == 3);
  cr_assert(fixture.Watch(3, Milliseconds(1000)) == 9);
  cr_expect(fixture.store_.TakePrefetched("table")->version == 9);
}

// Guards against a configuration that is applied in part: an invalid one
// becomes an object with its version and a value that cannot be parsed as a
// table.
Test(platform_object_store, invalid_configuration_is_refused_as_a_whole) {
  StoreFixture fixture({{200, R"({"metadata":{"name":"main","revision":9},)"
                              R"("spec":{"version":"0000000c"}})"}});
  const std::optional<StoreObject> object = fixture.Get("table");
  cr_assert(object.has_value() && object->version == 12);
  Failure reason;
  cr_expect(!TableDocument::Parse(object->value, &reason).has_value());
}

// Guards against a failure of the store that is reported as a missing object,
// and against a write that is reported as refused although it may have been
// applied.
Test(platform_object_store, failures_have_distinct_codes) {
  const std::string object =
      R"({"metadata":{"name":"seeds","revision":5},"spec":"text"})";
  const struct {
    const char* name;
    std::vector<StoreResponse> responses;
    FailureCode get;
    FailureCode put;
  } cases[] = {
      {"refused by rate",
       {{429, ""}},
       FailureCode::kStoreRejected,
       FailureCode::kStoreRejected},
      {"busy",
       {{503, ""}},
       FailureCode::kStoreRejected,
       FailureCode::kStoreRejected},
      {"fault",
       {{500, ""}},
       FailureCode::kStoreTimeout,
       FailureCode::kStoreTimeout},
      {"changed",
       {{409, object}},
       FailureCode::kConflict,
       FailureCode::kConflict},
      {"lost", {}, FailureCode::kStoreTimeout, FailureCode::kStoreTimeout},
      {"garbage",
       {{200, "{"}},
       FailureCode::kStoreTimeout,
       FailureCode::kStoreTimeout},
      {"no revision",
       {{200, R"({"metadata":{"name":"seeds"},"spec":"text"})"}},
       FailureCode::kStoreTimeout,
       FailureCode::kStoreTimeout},
      {"revision of another type",
       {{200, R"({"metadata":{"revision":"5"},"spec":"text"})"}},
       FailureCode::kStoreTimeout,
       FailureCode::kStoreTimeout},
  };
  for (const auto& test : cases) {
    {
      StoreFixture get(test.responses);
      cr_expect(!get.Get("seeds").has_value(), "%s", test.name);
      cr_expect(get.reason_.code == test.get, "%s: %s", test.name,
                get.reason_.ToString().c_str());
    }
    StoreFixture put(test.responses);
    cr_expect(!put.Put("seeds", 4).has_value(), "%s", test.name);
    cr_expect(put.reason_.code == test.put, "%s: %s", test.name,
              put.reason_.ToString().c_str());
  }
  StoreFixture absent({{404, ""}, {201, object}, {200, object}});
  cr_assert(absent.Get("seeds")->version == 0);
  cr_assert(absent.Put("seeds", 0) == 5);
  cr_assert(absent.Put("claims/x", 5) == 5);
  const std::vector<std::string> expected = {
      "GET /objects/dragonflytack-state/seeds",
      "POST /objects/dragonflytack-state",
      "PUT /objects/dragonflytack-state/claims.x"};
  cr_expect(absent.requests() == expected);
}

// Guards against a version of the table that two nodes read differently, and
// against a configuration that is taken without a version.
Test(platform_object_store, version_of_the_table_is_the_operators) {
  const struct {
    const char* name;
    const char* json;
    StoreVersion version;  // 0 if the object is malformed.
  } cases[] = {
      {"lowest", R"("00000001")", 1},
      {"letters", R"("0000000c")", 12},
      {"capital letters", R"("0000000C")", 12},
      {"highest", R"("ffffffff")", 0xffffffff},
      {"zero", R"("00000000")", 0},
      {"null", "null", 0},
      {"number", "12", 0},
      {"empty", R"("")", 0},
      {"seven digits", R"("000000c")", 0},
      {"too large", R"("100000000")", 0},
      {"no digit", R"("0000000g")", 0},
      {"sign", R"("+000000c")", 0},
      {"negative", R"("-000000c")", 0},
      {"space", R"(" 000000c")", 0},
      {"prefix", R"("0x00000c")", 0},
  };
  for (const auto& test : cases) {
    StoreFixture fixture(
        {{200, ConfigurationWithVersion(40, test.json, "roster")}});
    const std::optional<StoreObject> object = fixture.Get("table");
    cr_expect(object.has_value() == (test.version != 0), "%s", test.name);
    if (object) {
      cr_expect(object->version == test.version, "%s: %lu", test.name,
                object->version);
    } else {
      cr_expect(fixture.reason_.code == FailureCode::kStoreTimeout, "%s",
                test.name);
    }
  }
  StoreFixture missing(
      {{200, R"({"metadata":{"name":"main","revision":9},"spec":{"x":1}})"}});
  cr_expect(!missing.Get("table").has_value());
}

// Guards against a new configuration that is dropped because the store came
// back from an older copy and gives it a lower revision than an earlier one.
Test(platform_object_store, table_version_rises_over_a_return) {
  StoreFixture fixture(
      {{200, Configuration(40, 13, "roster"), "1"},
       {410, "", "2"},
       {200, Listed(Configuration(22, 11, "roster"), 22), "2"},
       {200, Event(Configuration(24, 13, "roster"), 24), "2"},
       {200, Event(Configuration(25, 14, "roster"), 25), "2"}});
  cr_assert(fixture.Watch(0, Milliseconds(0)) == 13);
  fixture.store_.TakePrefetched("table");
  // The older copy is no change, and neither is the repeated version.
  cr_assert(fixture.Watch(13, Milliseconds(1000)) == 13);
  cr_assert(fixture.Watch(13, Milliseconds(1000)) == 13);
  cr_expect(!fixture.store_.TakePrefetched("table").has_value());
  cr_assert(fixture.Watch(13, Milliseconds(1000)) == 14);
  cr_expect(fixture.store_.TakePrefetched("table")->version == 14);
  const std::vector<std::string> expected = {
      "GET /objects/config/main", "GET /objects/config?watch=40&wait_ms=1000",
      "GET /objects/config", "GET /objects/config?watch=22&wait_ms=1000",
      "GET /objects/config?watch=24&wait_ms=1000"};
  cr_expect(fixture.requests() == expected);
}

// Guards against a change that is missed because the revision from which the
// watch started was assigned again after a return.
Test(platform_object_store, watch_answered_in_a_later_era_reads_the_object) {
  StoreFixture fixture({{200, Configuration(40, 13, "roster"), "1"},
                        {200, R"({"events":[],"at":45})", "2"},
                        {200, Configuration(38, 14, "roster"), "2"},
                        {200, R"({"events":[],"at":46})", "2"}});
  cr_assert(fixture.Watch(0, Milliseconds(0)) == 13);
  cr_assert(fixture.Watch(13, Milliseconds(1000)) == 14);
  cr_expect(fixture.store_.TakePrefetched("table")->version == 14);
  cr_assert(fixture.Watch(14, Milliseconds(1000)) == 14);
  cr_expect(fixture.requests().back() ==
            "GET /objects/config?watch=38&wait_ms=1000");
}

// Guards against a watch that continues from a revision of an earlier era after
// another response had the later one.
Test(platform_object_store, watch_after_a_return_reads_the_object) {
  StoreFixture fixture({{200, Configuration(40, 13, "roster"), "1"},
                        {404, "", "2"},
                        {200, Configuration(41, 15, "roster"), "2"}});
  cr_assert(fixture.Watch(0, Milliseconds(0)) == 13);
  cr_assert(fixture.Get("seeds")->version == 0);
  cr_assert(fixture.Watch(13, Milliseconds(1000)) == 15);
  cr_expect(fixture.requests().back() == "GET /objects/config/main");
}

// Guards against responses from before a return that count as the state of the
// store after it.
Test(platform_object_store, response_of_an_earlier_era_counts_as_lost) {
  const struct {
    const char* name;
    StoreResponse response;
  } cases[] = {{"object", {200, StateObject(9), "1"}},
               {"missing object", {404, "", "1"}},
               {"conflict", {409, StateObject(9), "1"}},
               {"history gone", {410, "", "1"}},
               {"busy", {503, "", "1"}},
               {"list", {200, R"({"items":[],"at":9})", "1"}}};
  for (const auto& test : cases) {
    StoreFixture fixture({{404, "", "2"},
                          test.response,
                          test.response,
                          test.response,
                          test.response});
    cr_assert(fixture.Get("seeds")->version == 0);
    const auto check_lost = [&](bool has_result, const char* call) {
      cr_expect(
          !has_result && fixture.reason_.code == FailureCode::kStoreTimeout,
          "%s: %s: %s", test.name, call, fixture.reason_.ToString().c_str());
    };
    check_lost(fixture.Get("seeds").has_value(), "get");
    check_lost(fixture.Put("seeds", 0).has_value(), "put");
    check_lost(fixture.Delete("seeds", 0).has_value(), "delete");
    check_lost(fixture.List().has_value(), "list");
    cr_expect(fixture.store_.era() == 2);
  }
}

// Guards against a write whose condition holds for another content: revisions
// of an earlier era are assigned again.
Test(platform_object_store, condition_of_an_earlier_era_is_a_conflict) {
  StoreFixture fixture({{200, StateObject(5), "1"},
                        {404, "", "2"},
                        {200, StateObject(5), "2"},
                        {200, StateObject(6), "2"}});
  const std::optional<StoreObject> object = fixture.Get("seeds");
  cr_assert(object.has_value());
  cr_assert(fixture.Get("claims/x")->version == 0);
  cr_expect(!fixture.Put("seeds", object->version).has_value());
  cr_expect(fixture.reason_.code == FailureCode::kConflict);
  cr_expect(!fixture.Delete("seeds", object->version).has_value());
  cr_expect(fixture.reason_.code == FailureCode::kConflict);
  cr_expect_eq(fixture.requests().size(), 2);
  bool called = false;
  fixture.store_.Put("seeds", "text", object->version,
                     [&](auto, const Failure&) { called = true; });
  cr_expect(!called, "the callback ran inside of the call");
  const std::optional<StoreObject> again = fixture.Get("seeds");
  cr_assert(again.has_value() && again->version > object->version);
  cr_expect(called);
  cr_expect(fixture.Put("seeds", again->version) > again->version);
}

// Guards against a write that is reported as done although its condition was
// checked against the objects of a later era.
Test(platform_object_store, write_answered_in_a_later_era_is_uncertain) {
  for (const bool is_delete : {false, true}) {
    StoreFixture fixture(
        {{200, StateObject(5), "1"}, {200, StateObject(6), "2"}});
    const StoreVersion version = fixture.Get("seeds")->version;
    cr_expect(!(is_delete ? fixture.Delete("seeds", version)
                          : fixture.Put("seeds", version))
                   .has_value());
    cr_expect(fixture.reason_.code == FailureCode::kStoreTimeout);
  }
  // That an object does not exist is the same condition in every era.
  StoreFixture create({{404, "", "1"}, {201, StateObject(6), "2"}});
  cr_assert(create.Get("seeds")->version == 0);
  cr_expect(create.Put("seeds", 0).has_value());
}

// Guards against an era that is taken from a missing or malformed header, and
// against a return that no line of the log shows.
Test(platform_object_store, eras_by_header) {
  LogReader log;
  StoreFixture fixture({{404, ""},
                        {404, "", "x"},
                        {404, "", "-1"},
                        {200, Configuration(40, 13, "roster"), "3"},
                        {404, ""},
                        {404, "", "3"},
                        {503, "", "4"},
                        {409, "", "6"}});
  const auto get = [&](const char* key) { fixture.Get(key); };
  get("seeds");
  get("seeds");
  get("seeds");
  cr_expect(!fixture.store_.era().has_value());
  get("table");
  get("seeds");
  get("seeds");
  cr_expect(fixture.store_.era() == 3);
  cr_expect(log.Find("store_era_changed").empty());
  get("seeds");
  cr_expect(fixture.store_.era() == 4);
  fixture.Put("seeds", 0);
  cr_expect(fixture.store_.era() == 6);
  const auto lines = log.Find("store_era_changed");
  cr_assert_eq(lines.size(), 2);
  cr_expect(lines[0]["from"] == 3 && lines[0]["to"] == 4);
  cr_expect(lines[1]["from"] == 4 && lines[1]["to"] == 6);
  cr_expect(lines[1]["held"] == 13);
}

// Guards against a change that is missed because the store names its era from
// the first return on only: the watch started from a revision that was given
// out again.
Test(platform_object_store, first_era_after_responses_without_one_is_a_return) {
  StoreFixture fixture({{200, Configuration(40, 13, "roster")},
                        {200, R"({"events":[],"at":45})", "1"},
                        {200, Configuration(38, 14, "roster"), "1"}});
  cr_assert(fixture.Watch(0, Milliseconds(0)) == 13);
  cr_assert(fixture.Watch(13, Milliseconds(1000)) == 14);
}

}  // namespace dragonflytack::platform
