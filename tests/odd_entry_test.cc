// Entries of another writer among those that a node reads.

#include <string>
#include <vector>

#include <criterion/criterion.h>
#include <fmt/format.h>

#include "admin_exchange.h"
#include "distribution/seed_list.h"
#include "dragonflytack/base/logger.h"
#include "dragonflytack/base/manual_clock.h"
#include "dragonflytack/base/settings.h"
#include "object_store_fixture.h"
#include "platform/heartbeat_handler.h"

namespace dragonflytack {

namespace {

std::string Nested(size_t depth) {
  return std::string(depth, '[') + std::string(depth, ']');
}

// JSON values that no writer of this project produces.
std::vector<std::string> OddValues() {
  return {"null",
          "-1",
          "1e30",
          "18446744073709551616",
          "1e999",
          "-" + std::string(400, '9'),
          "\"" + std::string(50'000, 'x') + "\"",
          "\"127.0.0.1:0\"",
          "\"127.0.0.1:65536\"",
          "\"127.0.0.1:-1\"",
          "\"127.0.0.1:http\"",
          "\"\\u0000\"",
          "[\"127.0.0.1:99999\"]",
          "{\"peers\":{\"peers\":[]}}",
          Nested(3),
          Nested(40'000)};
}

}  // namespace

// Guards against a node that starts without a peer because one entry of the
// list is invalid: its whole list counted as empty.
Test(odd_entry, in_the_seed_list_costs_only_itself) {
  const SeedList::DataCentre good = {"north", {{"127.0.0.1", 80}}};
  for (const std::string& odd : OddValues()) {
    if (odd == "1e999" || odd.starts_with("-9")) {
      // A number that the parser refuses leaves no JSON object.
      continue;
    }
    const std::string lists[] = {
        fmt::format(R"({{"a":{},"north1":{{"region":"north","peers":)"
                    R"(["127.0.0.1:80"]}}}})",
                    odd),
        fmt::format(R"({{"north1":{{"region":"north","peers":)"
                    R"([{},"127.0.0.1:80"]}}}})",
                    odd),
        fmt::format(R"({{"north1":{{"region":"north","peers":)"
                    R"(["127.0.0.1:80"]}},"z":{{"region":"z","peers":{}}}}})",
                    odd)};
    for (const std::string& text : lists) {
      Failure reason;
      const auto seeds = SeedList::Parse(text, &reason);
      cr_assert(seeds.has_value(), "%.80s", text.c_str());
      cr_expect(seeds->data_centres.at("north1") == good, "%.80s",
                text.c_str());
      cr_expect(reason.code == FailureCode::kInvalidMessage, "%.80s",
                text.c_str());
    }
  }
}

namespace platform {

// Guards against nodes that stop following the configuration because another
// client of the store has left an object of the same kind that they cannot
// read.
Test(odd_entry, among_the_objects_of_the_store_is_skipped) {
  for (const std::string& odd : OddValues()) {
    const std::string object = fmt::format(
        R"({{"metadata":{{"name":"other","revision":8}},"spec":{}}})", odd);
    const std::string unnamed = fmt::format(R"({{"metadata":{}}})", odd);
    const std::string good = Configuration(9, 5, "roster");
    StoreFixture fixture(
        {{200, Configuration(7, 3, "roster")},
         {200, fmt::format(R"({{"events":[{{"object":{}}},{{"object":{}}},{},)"
                           R"({{"object":{}}}],"at":9}})",
                           object, unnamed, odd, good)},
         {410, ""},
         {200, Listed(object + "," + unnamed + "," + odd + "," +
                          Configuration(40, 9, "roster"),
                      40)}});
    cr_assert(fixture.Watch(0, Milliseconds(0)) == 3);
    cr_expect(fixture.Watch(3, Milliseconds(1000)) == 5, "%.80s", odd.c_str());
    cr_expect(fixture.Watch(5, Milliseconds(1000)) == 9, "%.80s", odd.c_str());
  }
}

// Guards against an object of this system that another writer has replaced and
// that counts as a failure of the store, so that nobody writes it again.
Test(odd_entry, in_place_of_an_own_object_can_be_written_over) {
  std::vector<std::string> specs = {"", R"(,"spec":{})", R"(,"spec":true)"};
  for (const std::string& odd : OddValues()) {
    if (!odd.starts_with('"')) {
      specs.push_back(R"(,"spec":)" + odd);
    }
  }
  for (const std::string& spec : specs) {
    const std::string object =
        R"({"metadata":{"name":"seeds","revision":8})" + spec + "}";
    StoreFixture fixture({{200, object},
                          {200, R"({"metadata":{"name":"seeds","revision":9},)"
                                R"("spec":"text"})"}});
    const std::optional<StoreObject> found = fixture.Get("seeds");
    cr_assert(found.has_value(), "%.80s", spec.c_str());
    cr_expect(found->version == 8 && found->value.empty() && found->defect,
              "%.80s", spec.c_str());
    cr_expect(fixture.Put("seeds", found->version) == 9, "%.80s", spec.c_str());
  }
}

// Guards against a heartbeat that ends the process or replaces the endpoint of
// the node.
Test(odd_entry, in_a_heartbeat_is_refused_alone) {
  ManualClock clock;
  Logger logger(&clock, static_cast<LogLevel>(4), "");
  Settings settings;
  settings.service = "roster";
  settings.target_address = {"10.1.0.8", 8301};
  std::vector<LocalTarget> announced;
  Failure response;
  const HeartbeatHandler handler(
      settings,
      [&](const LocalTarget& target, const AnnouncementReply& reply) {
        announced.push_back(target);
        reply(response);
      },
      &logger);
  const auto post = [&](const std::string& instance, const std::string& body) {
    return Exchange(handler,
                    {"POST",
                     "/rpc",
                     {{"call", "instances.heartbeat"}, {"of", instance}},
                     "",
                     body,
                     "127.0.0.1"})
        .status;
  };
  const auto heartbeat = [](const char* field, const std::string& value) {
    const auto either = [&](const char* name, const char* usual) {
      return field == std::string_view(name) ? value : std::string(usual);
    };
    return fmt::format(
        R"({{"address":{},"born":{},"info":{{"service":{},"slots":{},)"
        R"("version":{},"zone":{}}},"status":{{"state":{},"seq":{}}}}})",
        either("address", "\"10.1.0.8:8301\""), either("born", "1"),
        either("service", "\"roster\""), either("slots", "13"),
        either("version", "\"v1\""), either("zone", "\"kigali-a\""),
        either("state", "\"ready\""), either("seq", "4"));
  };
  for (const std::string& odd : OddValues()) {
    for (const char* field : {"address", "born", "service", "slots", "version",
                              "zone", "state", "seq"}) {
      // Any short text may be a version or the name of a zone.
      const bool is_valid_text = (field == std::string_view("version") ||
                                  field == std::string_view("zone")) &&
                                 odd.starts_with('"') && odd.size() > 2 &&
                                 odd.size() < 64;
      if (odd == "-1" || odd == "null" || is_valid_text) {
        continue;
      }
      cr_expect_eq(post("i-1", heartbeat(field, odd)), 400, "%s %.40s", field,
                   odd.c_str());
    }
  }
  cr_expect(announced.empty());
  cr_expect_eq(post("i-1", heartbeat("", "")), 200);
  cr_expect_eq(announced.size(), 1);
  // The response names what cannot be written as JSON.
  response = {FailureCode::kInvalidArgument, "instance \xff", "is unknown"};
  cr_expect_eq(post("i-\xff", heartbeat("", "")), 503);
}

}  // namespace platform

}  // namespace dragonflytack
