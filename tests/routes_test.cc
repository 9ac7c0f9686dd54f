#include <string>
#include <utility>
#include <vector>

#include <criterion/criterion.h>

#include "distribution/delta_history.h"
#include "distribution/message_codec.h"
#include "dragonflytack/routing/route_index.h"
#include "dragonflytack/table/table_document.h"
#include "table/column.h"
#include "table/table_csv.h"
#include "table/table_edit.h"

namespace dragonflytack {

namespace {

Table::Rows Rows() {
  Table::Rows rows;
  for (const char* service : {"booking", "roster"}) {
    rows[service].service = service;
  }
  return rows;
}

RouteRow Route(const std::string& name, const std::string& prefix) {
  RouteRow route;
  route.name = name;
  route.host = "shop.example";
  route.prefix = prefix;
  route.shares = {{"booking", 3}, {"roster", 1}};
  return route;
}

Table::Routes Routes(const std::vector<RouteRow>& list) {
  Table::Routes routes;
  for (const RouteRow& route : list) {
    routes[route.name] = route;
  }
  return routes;
}

std::shared_ptr<const Table> MakeTable(TableVersion version,
                                       const std::vector<RouteRow>& routes) {
  Failure reason;
  auto table = Table::Make(version, Rows(), Routes(routes), &reason);
  cr_assert(table != nullptr, "%s", reason.ToString().c_str());
  return table;
}

}  // namespace

// Guards against a call that takes a route of another host, or one with a
// shorter prefix than the longest match.
Test(routes, longest_prefix_of_the_host_wins) {
  const RouteIndex index(MakeTable(
      1, {Route("root", "/"), Route("a", "/a/"), Route("ab", "/a/b/")}));
  const struct {
    const char* host;
    const char* target;
    const char* route;
  } cases[] = {
      {"shop.example", "/a/b/c", "ab"},
      {"shop.example", "/a/b/", "ab"},
      {"shop.example", "/a/bc", "a"},
      {"shop.example", "/a", "root"},
      {"SHOP.example:80", "/a/x", "a"},
      {"shop.example", "/x?y=/a/", "root"},
      {"other.example", "/a/b/c", nullptr},
      {"", "/", nullptr},
  };
  for (const auto& test : cases) {
    const RouteRow* found = index.Find(test.host, test.target);
    cr_expect_eq(found != nullptr, test.route != nullptr, "%s", test.target);
    if (found != nullptr && test.route != nullptr) {
      cr_expect(found->name == test.route, "%s: %s", test.target,
                found->name.c_str());
    }
  }
}

// Guards against invalid routes that are accepted: routes with invalid values
// or unknown services, or two routes with the same host and prefix.
Test(routes, invalid_routes_make_the_table_invalid) {
  RouteRow unknown = Route("r", "/r/");
  unknown.shares = {{"payroll", 1}};
  RouteRow no_weight = Route("r", "/r/");
  no_weight.shares = {{"booking", 0}};
  RouteRow open_prefix = Route("r", "/r");
  RouteRow no_attempts = Route("r", "/r/");
  no_attempts.attempts = 0;
  RouteRow upper = Route("r", "/r/");
  upper.host = "Shop.example";
  for (const std::vector<RouteRow>& routes : std::vector<std::vector<RouteRow>>{
           {unknown},
           {no_weight},
           {open_prefix},
           {no_attempts},
           {upper},
           {Route("r", "/r/"), Route("s", "/r/")}}) {
    Failure reason;
    cr_expect(Table::Make(1, Rows(), Routes(routes), &reason) == nullptr);
    cr_expect(reason.code == FailureCode::kInvalidTable &&
                  reason.subject.starts_with("route "),
              "%s", reason.ToString().c_str());
  }
}

// Guards against deltas over several versions that omit routes changed in
// between. Nodes would reject such deltas by the digest and request snapshots.
Test(routes, merged_deltas_include_routes) {
  RouteRow changed = Route("a", "/a/");
  changed.timeout_ms = 77;
  const std::vector<std::shared_ptr<const Table>> versions = {
      MakeTable(1, {Route("a", "/a/"), Route("b", "/b/")}),
      MakeTable(2, {changed, Route("b", "/b/"), Route("c", "/c/")}),
      MakeTable(3, {changed, Route("c", "/c/")}),
      MakeTable(5, {changed, Route("b", "/b/")}),
  };
  DeltaHistory history;
  for (const auto& version : versions) {
    history.Append(version);
    for (const auto& base : versions) {
      const auto delta = history.DeltaFrom(base->version());
      if (!delta) {
        continue;
      }
      Failure reason;
      const auto decoded = MessageCodec::Decode(
          MessageCodec::Encode(DeltaMessage{*delta}), &reason);
      cr_assert(decoded.has_value(), "%s", reason.ToString().c_str());
      const auto result =
          std::get<DeltaMessage>(*decoded).delta.ApplyTo(*base, &reason);
      cr_assert(result != nullptr, "%s", reason.ToString().c_str());
      cr_assert(*result == *version);
    }
  }
}

// Guards against routes that are lost when the stored document is parsed and
// written again.
Test(routes, document_round_trip) {
  TableDocument document;
  document.rows = Rows();
  document.routes = Routes({Route("a", "/a/"), Route("b", "/b/")});
  Failure reason;
  const auto read = TableDocument::Parse(document.ToJson(), &reason);
  cr_assert(read.has_value(), "%s", reason.ToString().c_str());
  cr_assert(*read == document);
}

// Guards against column defaults that differ from those of RouteRow.
Test(routes, column_defaults_are_those_of_the_row) {
  for (const RouteColumn& column : Columns<RouteRow>()) {
    if (column.default_text) {
      cr_assert(column.format_text(column, RouteRow{}) == *column.default_text);
    }
  }
}

// Guards against routes that are changed by an export to CSV and an import.
Test(routes, csv_round_trip) {
  const Table::Routes routes = Routes({Route("a", "/a/"), Route("b", "/b/")});
  Failure reason;
  cr_assert(ParseCsv<RouteRow>(FormatCsv(routes), &reason) == routes, "%s",
            reason.ToString().c_str());
  const auto short_form = ParseCsv<RouteRow>(
      "shares,kind,host,name\nbooking;roster=2,idempotent,shop.example,a\n",
      &reason);
  cr_assert(short_form.has_value(), "%s", reason.ToString().c_str());
  cr_assert(short_form->at("a").shares ==
            (std::vector<RouteShare>{{"booking", 1}, {"roster", 2}}));
  cr_assert_eq(short_form->at("a").prefix, "/");
  const std::string header = "name,host,prefix,kind,shares\n";
  for (const auto& [line, column] :
       std::vector<std::pair<std::string, std::string>>{
           {"a,Shop.example,/,idempotent,b=1", "host"},
           {"a,shop.example,/a,idempotent,b=1", "prefix"},
           {"a,shop.example,/,twice,b=1", "kind"},
           {"a,shop.example,/,idempotent,b=x", "shares"},
           {"a,shop.example,/,idempotent,b=1;", "shares"},
           {"a,shop.example,/,idempotent,=1", "shares"},
           {"a,shop.example,/,idempotent,b=0", "shares"},
           {"a b,shop.example,/,idempotent,b=1", "name"}}) {
    cr_expect_not(ParseCsv<RouteRow>(header + line, &reason).has_value());
    cr_expect(reason.subject.ends_with(column), "%s: %s", line.c_str(),
              reason.ToString().c_str());
  }
}

// Guards against edits of routes that are lost, change the service with the
// same name, or overwrite the change of another operator.
Test(routes, edits_merge_and_conflict) {
  TableDocument document;
  document.rows = Rows();
  document.routes = Routes({Route("booking", "/a/")});
  Failure reason;
  const auto slower =
      SetCell(document.routes, "booking", "timeout_ms", "77", {}, &reason);
  const auto split = SetCell(document.routes, "booking", "shares",
                             "booking=1;roster=1", {}, &reason);
  const auto slots =
      SetCell(document.rows, "booking", "slots", "5", {}, &reason);
  const auto add = AddRow(document.routes, "b",
                          {{"host", "shop.example"},
                           {"prefix", "/b/"},
                           {"kind", "one_time"},
                           {"shares", "roster"}},
                          &reason);
  const auto remove = RemoveRow(document.routes, "booking", &reason);
  cr_assert(slower && split && slots && add && remove);
  for (const auto& cells : {slower, split, slots, add}) {
    cr_assert(ApplyEdit(*cells, &document).empty());
  }
  cr_assert_eq(document.routes["booking"].timeout_ms, 77);
  cr_assert_eq(document.routes["booking"].shares[0].weight, 1);
  cr_assert_eq(document.rows["booking"].slots, 5);
  cr_assert(document.routes["b"].kind == ServiceKind::kOneTime);
  const TableDocument before = document;
  const auto conflicts = ApplyEdit(*slower, &document);
  cr_assert_eq(conflicts.size(), 1u);
  cr_assert_eq(conflicts[0].ToString(),
               "route booking, column timeout_ms: expected \"1000\", found "
               "\"77\"");
  // Two cells have changed since the removal was created.
  cr_assert_eq(ApplyEdit(*remove, &document).size(), 2u);
  cr_assert(document == before);
  document.recent.push_back(EditRecord{"id", "ana", 1, *add});
  const auto read = TableDocument::Parse(document.ToJson(), &reason);
  cr_assert(read && *read == document, "%s", reason.ToString().c_str());
}

}  // namespace dragonflytack
