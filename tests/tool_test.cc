#include "cli/tool.h"

#include <cstdio>
#include <fstream>
#include <string>
#include <vector>

#include <criterion/criterion.h>

#include "cli/span_tree.h"
#include "dragonflytack/base/hash.h"
#include "tool_fixture.h"

namespace dragonflytack {

using nlohmann::json;

// Guards against changed exit codes, on which scripts rely, and against changed
// texts, on which operators rely.
Test(tool, exit_codes_and_texts_are_stable) {
  ToolFixture fixture;
  struct Case {
    std::vector<std::string> arguments;
    int code;
    std::string text;
  };
  const std::vector<Case> cases = {
      {{}, 2, "the verb is missing"},
      {{"frob"}, 2, "there is no verb \"frob\""},
      {{"--help"}, 0, "Exit codes"},
      {{"set", "--help"}, 0, "1-600000 ms"},
      {{"set", "roster"}, 2, "set needs ROW COLUMN VALUE\nusage"},
      {{"explain"}, 2, "\"dragonflytack explain --help\" describes"},
      {{"show", "a", "b"}, 2, "unexpected argument \"b\"\nusage"},
      {{"--json", "show"}, 0, "\"service\": \"roster\""},
      {{"--json"}, 2, "the verb is missing"},
      {{"--store", "127.0.0.1:1"}, 2, "the verb is missing"},
      {{"--store", "show", "show"}, 2, "store"},
      {{"--frob", "show"}, 2, "frob"},
      {{"set", "roster", "slots", "5", "--wait=x"}, 2, "wait"},
      {{"show", "--wai"}, 2, "wai"},
      {{"show", "--store", "localhost:1"}, 2, "store"},
      {{"show", "--timeout", "0"}, 2, "timeout"},
      {{"show", "--timeout", "nan"}, 2, "timeout"},
      {{"show", "--key-file", "/nonexistent"}, 2, "key file"},
      {{"show", "--author", "a\nb"}, 2, "author"},
      {{"set", "roster", "colour", "1"}, 2, "the columns are service, kind"},
      {{"set", "roster", "slots", "0"}, 2, "roster/slots: 0 is not in 1-10000"},
      {{"set", "other", "slots", "1"}, 1, "no row"},
      {{"set", "roster", "slots", "5", "--expect", "4"},
       3,
       "roster, column slots: expected \"4\", found \"12\""},
      {{"set", "roster", "slots", "12"}, 0, "nothing to change"},
      {{"set", "roster", "slots", "5", "--expect", "12"}, 0, "version 2"},
      {{"add", "roster", "kind=one_time"}, 3, "already"},
      {{"add", "b", "kind"}, 2, "COLUMN=VALUE"},
      {{"remove", "b"}, 1, "no row"},
      {{"import", "/nonexistent"}, 2, "cannot be read"},
      {{"show"}, 0, "roster   idempotent"},
      {{"show", "b"}, 1, "no row"},
      {{"export"}, 0, "roster,idempotent,,0,64,120,5,0,1000,1\r\n"},
      {{"history", "roster"}, 0, "unknown  roster  slots     12  5"},
      {{"history", "b"}, 0, "no edits of b"},
      {{"trace", "x"}, 2, "32 hexadecimal digits"},
      {{"explain", "a b"}, 2, "SERVICE"},
      {{"explain", "b"}, 1, "not_found"},
      {{"show", "--store", "127.0.0.1:1", "--timeout", "0.2"},
       4,
       "store_unreachable"},
      {{"status", "--node", "127.0.0.1:1"}, 1, "peer_unreachable"},
  };
  for (const Case& item : cases) {
    const int code = fixture.Run(item.arguments);
    cr_assert(code == item.code && fixture.OutputContains(item.text),
              "%s: %d\n%s%s", item.text.c_str(), code, fixture.out.c_str(),
              fixture.err.c_str());
  }
}

// Guards against an export that differs from the table when it is imported, and
// against an import or a diff that misses changed cells.
Test(tool, import_export_and_diff_agree) {
  ToolFixture fixture;
  cr_assert_eq(fixture.Run({"export"}), 0);
  const std::string path = MakeTemporaryFile();
  std::ofstream(path) << fixture.out;
  cr_assert_eq(fixture.Run({"diff", path}), 0);
  cr_assert(fixture.OutputContains("no difference"));
  std::ofstream(path) << "service,kind,slots\nbooking,one_time,3\n";
  cr_assert_eq(fixture.Run({"import", path, "--json"}), 0);
  const json result = json::parse(fixture.out);
  cr_assert_eq(result["version"].get<int>(), 2);
  cr_assert_eq(result["cells"].size(), 12u);
  cr_assert_eq(fixture.Run({"show", "--json"}), 0);
  cr_assert_eq(json::parse(fixture.out)["rows"][0]["slots"].get<int>(), 3);
  std::ofstream(path) << "service,kind\nb,idempotent\nb,idempotent\n";
  cr_assert_eq(fixture.Run({"import", path}), 1);
  cr_assert(fixture.OutputContains("line 3: there are two rows"));
  // Only a forced import may replace a stored table that cannot be parsed.
  std::ofstream(path) << "service,kind\nb,idempotent\n";
  cr_assert(fixture.store.Put("table", "{", 2).has_value());
  cr_assert_eq(fixture.Run({"import", path}), 1);
  cr_assert_eq(fixture.Run({"import", path, "--force"}), 0);
  cr_assert_eq(fixture.Run({"show", "b"}), 0);
  std::remove(path.c_str());
}

// Guards against verbs that do not support the sheet of routes.
Test(tool, routes_are_edited_like_services) {
  ToolFixture fixture;
  struct Case {
    std::vector<std::string> arguments;
    int code;
    std::string text;
  };
  const std::vector<Case> cases = {
      {{"add", "r", "host=shop.example", "kind=idempotent", "shares=booking",
        "--routes"},
       1,
       "route r/shares: there is no service \"booking\""},
      {{"add", "r", "host=shop.example", "kind=idempotent", "shares=roster",
        "--routes"},
       0,
       "route r, host: \"\" -> \"shop.example\""},
      {{"add", "r", "host=a.example", "kind=idempotent", "shares=roster",
        "--routes"},
       3,
       "already"},
      {{"set", "r", "attempts", "2", "--routes"}, 0, "route r, attempts"},
      {{"set", "r", "slots", "2", "--routes"}, 2, "the columns are name, host"},
      {{"set", "r", "attempts", "3", "--routes", "--expect", "1"},
       3,
       "route r, column attempts: expected \"1\", found \"2\""},
      {{"show", "--routes"}, 0, "shop.example  /       idempotent"},
      {{"show", "r", "--routes"}, 0, "targets that one call may reach"},
      {{"show", "x", "--routes"}, 1, "no row"},
      {{"show", "--routes", "--json"}, 0, "\"prefix\": \"/\""},
      {{"remove", "roster"}, 1, "there is no service \"roster\""},
      {{"history", "r"}, 0, "route r  attempts    1  2"},
      {{"remove", "x", "--routes"}, 1, "no row of this route"},
  };
  for (const Case& item : cases) {
    const int code = fixture.Run(item.arguments);
    cr_assert(code == item.code && fixture.OutputContains(item.text),
              "%s: %d\n%s%s", item.text.c_str(), code, fixture.out.c_str(),
              fixture.err.c_str());
  }
  cr_assert_eq(fixture.Run({"export", "--routes"}), 0);
  const std::string path = MakeTemporaryFile();
  std::ofstream(path) << fixture.out;
  cr_assert_eq(fixture.Run({"diff", path, "--routes"}), 0);
  cr_assert(fixture.OutputContains("no difference"));
  cr_assert_eq(fixture.Run({"remove", "r", "--routes"}), 0);
  cr_assert_eq(fixture.Run({"import", path, "--routes"}), 0);
  cr_assert_eq(fixture.Run({"show", "r", "--routes"}), 0);
  std::remove(path.c_str());
}

// Guards against an explanation that names the wrong route of a call, or that
// gives no reason if no route matches.
Test(tool, explain_names_the_route_of_a_call) {
  ToolFixture fixture;
  const auto route = [](const char* name, const char* prefix) {
    return json{{"name", name},
                {"host", "shop.example"},
                {"prefix", prefix},
                {"kind", "idempotent"},
                {"shares",
                 {{{"service", "roster"}, {"weight", 3}},
                  {{"service", "booking"}, {"weight", 1}}}}};
  };
  fixture.node.responses["/table"] = {
      {"version", 9},
      {"rows",
       {{{"service", "roster"}, {"kind", "idempotent"}},
        {{"service", "booking"}, {"kind", "idempotent"}}}},
      {"routes", {route("cart", "/cart/"), route("gifts", "/cart/gifts/")}}};
  cr_assert_eq(fixture.Run({"explain", "Shop.example:80/cart/gifts/7?x=/"}), 0,
               "%s", fixture.err.c_str());
  cr_assert(fixture.OutputContains("gifts") &&
            fixture.OutputContains("version 9") &&
            fixture.OutputContains("75.0 %"));
  cr_assert_eq(fixture.Run({"explain", "shop.example/cart/7", "--json"}), 0);
  cr_assert_eq(json::parse(fixture.out)["route"]["name"], "cart");
  cr_assert_eq(fixture.Run({"explain", "Shop.example:80/x"}), 1);
  cr_assert(fixture.OutputContains("/cart/ (cart), /cart/gifts/ (gifts)"));
  cr_assert_eq(fixture.Run({"explain", "other.example/x"}), 1);
  cr_assert(fixture.OutputContains("version 9 has no route of this host"));
  fixture.node.responses["/table"]["routes"] = json::array();
  cr_assert_eq(fixture.Run({"explain", "shop.example/x"}), 1);
  cr_assert(fixture.OutputContains("the path of a call names its service"));
}

// Guards against a wait that does not end when all expected nodes have the
// version, that includes nodes that are dead or have left, or that does not
// list the nodes without the version at the timeout.
Test(tool, set_waits_for_the_fleet) {
  ToolFixture fixture;
  fixture.store.loop->timers().SubscribeOnce(Milliseconds(300), [&] {
    ToolFixture::SetVersion(&fixture.node, 2);
    ToolFixture::SetVersion(&fixture.other, 3);
  });
  cr_assert_eq(fixture.Run({"set", "roster", "slots", "5", "--wait"}), 0, "%s",
               fixture.err.c_str());
  cr_assert(fixture.OutputContains("in force on 2 nodes"));
  fixture.other.responses["/status"]["refused"] = {{"version", 4},
                                                   {"row", "roster"},
                                                   {"column", "slots"},
                                                   {"reason", "too many"}};
  ToolFixture::SetVersion(&fixture.node, 3);
  cr_assert_eq(fixture.Run({"set", "roster", "slots", "6"}), 0);
  cr_assert_eq(fixture.Run({"set", "roster", "slots", "7", "--wait",
                            "--timeout", "0.5"}),
               5);
  cr_assert(fixture.OutputContains("2 of 2 nodes do not have it in force"));
  cr_assert(
      fixture.OutputContains("refused version 4: roster/slots: too many"));
  cr_assert(fixture.err.find("n3") == std::string::npos);
  cr_assert_eq(fixture.Run({"set", "roster", "slots", "8", "--wait", "--node",
                            "127.0.0.1:1", "--timeout", "0.3"}),
               5);
  cr_assert(fixture.OutputContains("could not be listed"));
}

Test(tool, status_lists_nodes_without_the_newest_version) {
  ToolFixture fixture;
  cr_assert_eq(fixture.Run({"set", "roster", "slots", "5"}), 0);
  ToolFixture::SetVersion(&fixture.node, 2);
  cr_assert_eq(fixture.Run({"status"}), 0);
  cr_assert(fixture.OutputContains("newest version 2, stored version 2"));
  cr_assert(fixture.OutputContains(
                "n2    north   north-1      warming  suspect         1"),
            "%s", fixture.out.c_str());
  fixture.other.responses["/status"]["in_force"] = false;
  cr_assert_eq(fixture.Run({"status"}), 0);
  cr_assert(fixture.OutputContains("no table is in force"));
  cr_assert_eq(fixture.Run({"status", "--json"}), 0);
  const json data_centre = json::parse(fixture.out)["places"][0];
  cr_assert(data_centre["nodes"] == 2 && data_centre["newest"] == 1 &&
            data_centre["no_version"] == 1 && data_centre["dead_or_left"] == 2);
}

// Guards against endpoints without calls that are shown without a reason.
Test(tool, explain_gives_the_reason_why_an_endpoint_gets_no_calls) {
  ToolFixture fixture;
  json endpoints = fixture.node.responses["/nodes"];
  endpoints[3]["state"] = "draining";
  endpoints.push_back(endpoints[0]);
  endpoints[4]["region"] = "south";
  endpoints[1]["warming_since_ms"] =
      fixture.store.clock.WallMillis() + 1'000'000;
  fixture.node.responses["/routes?service=roster"] = {
      {"node", "n1"},
      {"version", 7},
      {"row",
       {{"service", "roster"},
        {"kind", "idempotent"},
        {"weights", {{"south", 0}}}}},
      {"endpoints", endpoints}};
  cr_assert_eq(fixture.Run({"explain", "roster"}), 0, "%s",
               fixture.err.c_str());
  cr_assert(fixture.OutputContains("the node is dead") &&
            fixture.OutputContains("the target is draining") &&
            fixture.OutputContains("the weight of south is 0") &&
            fixture.OutputContains("2 of 5 endpoints get calls"));
  cr_assert_eq(fixture.Run({"explain", "roster", "--json"}), 0);
  const json shown = json::parse(fixture.out)["endpoints"];
  cr_assert(shown[0]["weight"] == 100.0 && shown[1]["weight"] == 10.0);
}

// Guards against spans of several nodes that are not joined into one tree, and
// against requests without the authorization header.
Test(tool, trace_joins_spans_of_all_nodes_with_authorization) {
  ToolFixture fixture;
  const std::string id(32, 'a');
  const auto span = [&](const std::string& span_id, const std::string& parent,
                        const std::string& name, int start) {
    return json{{"trace_id", id},       {"span_id", span_id},
                {"parent_id", parent},  {"name", name},
                {"node", "n1"},         {"start_us", start},
                {"end_us", start + 500}};
  };
  fixture.node.responses["/trace?id=" + id] = {
      {"trace_id", id},
      {"spans", json::array({span("2", "1", "attempt", 2000),
                             span("1", "f", "entry", 1000)})}};
  fixture.other.responses["/trace?id=" + id] =
      json::array({span("3", "2", "target", 2100)});
  const std::string key = "a key of the mesh";
  const std::string path = MakeTemporaryFile();
  std::ofstream(path) << key << "\n";
  for (FakeNode* node : {&fixture.node, &fixture.other}) {
    node->authorization = "Bearer " + ToHex(HmacSha256(key, "admin"));
  }
  cr_assert_eq(fixture.Run({"trace", id, "--key-file", path}), 0, "%s",
               fixture.err.c_str());
  std::remove(path.c_str());
  const size_t entry = fixture.out.find("\nentry ");
  const size_t attempt = fixture.out.find("\n  attempt ");
  const size_t target = fixture.out.find("\n    target ");
  cr_assert(entry < attempt && attempt < target && target != std::string::npos,
            "%s", fixture.out.c_str());
  cr_assert_eq(fixture.Run({"trace", id}), 1);
  cr_assert(fixture.OutputContains("authentication"));
}

// Guards against infinite recursion on spans whose parents form a cycle.
Test(span_tree, draws_cycles_and_repeated_spans_once) {
  const Span a{.span_id = "a", .parent_id = "b", .name = "one"};
  const Span b{.span_id = "b", .parent_id = "a", .name = "two"};
  const std::string text = DrawSpanTree({a, b, a});
  cr_assert(text.find("one") != std::string::npos &&
            text.find("one") == text.rfind("one"));
  cr_assert(text.find("two") != std::string::npos);
}

// Guards against commands in the README that the tool rejects, for example
// because it accepts options only after the verb.
Test(tool, accepts_the_commands_of_the_readme) {
  std::ifstream page("README.md");
  int commands = 0;
  bool in_code = false;
  for (std::string line; std::getline(page, line);) {
    in_code = line.starts_with("```") ? !in_code : in_code;
    std::istringstream words(in_code ? line : "");
    std::string word;
    words >> word;
    if (word != "dragonflytack") {
      continue;
    }
    std::vector<std::string> arguments;
    while (words >> word) {
      arguments.push_back(word);
    }
    arguments.insert(arguments.end(), {"--timeout", "0.2"});
    ToolFixture fixture;
    const int code = fixture.Run(arguments);
    ++commands;
    constexpr int kUsage = 2;
    cr_expect_neq(code, kUsage, "%s: %s", line.c_str(), fixture.err.c_str());
  }
  cr_assert_geq(commands, 5);
}

// Guards against log lines of a request that are shown in the wrong order, and
// against lines that only contain its id in another field or in other text.
Test(tool, request_joins_logs_by_id) {
  ToolFixture fixture;
  const std::string first = MakeTemporaryFile();
  const std::string second = MakeTemporaryFile();
  std::ofstream(first)
      << R"({"time":"2026-01-01T00:00:02.000Z","event":"call_failed",)"
      << R"("node":"n1","call":"id-1","after_ms":113})"
      << "\n"
      << R"({"time":"2026-01-01T00:00:01.000Z","event":"call_failed",)"
      << R"("node":"n1","call":"id-2"})"
      << "\n"
      << "no object but id-1\n"
      << R"({"time":"2026-01-01T00:00:00.000Z","event":"target","x":"id-1"})"
      << "\n";
  std::ofstream(second)
      << R"(n2 | {"time":"2026-01-01T00:00:01.500Z","event":"call_retried",)"
      << R"("node":"n2","call":"id-1","detail":"a\nb"})"
      << "\n";
  cr_assert_eq(fixture.Run({"request", "id-1", first, second}), 0);
  const std::string expected =
      "2026-01-01T00:00:01.500Z call_retried n2 detail=\"a\\nb\"\n"
      "2026-01-01T00:00:02.000Z call_failed n1 after_ms=113\n";
  cr_assert(fixture.out == expected, "%s", fixture.out.c_str());
  cr_assert_eq(fixture.Run({"request", "id-3", first, second}), 1);
  cr_assert_eq(fixture.Run({"request", "id-1", "/nonexistent"}), 1);
  std::remove(first.c_str());
  std::remove(second.c_str());
}

}  // namespace dragonflytack
