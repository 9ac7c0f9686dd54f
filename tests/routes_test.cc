#include <string>
#include <vector>

#include <criterion/criterion.h>

#include "distribution/delta_history.h"
#include "distribution/message_codec.h"
#include "dragonflytack/routing/route_index.h"
#include "dragonflytack/table/table_document.h"

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

// Guards against a call that takes another route than the longest prefix of its
// own host.
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

// Guards against routes to services that the table does not have, and routes
// between which a call could not choose.
Test(routes, invalid_ones_refuse_the_version) {
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

// Guards against deltas over several versions that lose the routes changed on
// the way: nodes refused them by their digest and asked for whole tables.
Test(routes, merged_deltas_carry_them) {
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

// Guards against a store object that loses its routes on the way through the
// tool.
Test(routes, document_round_trip) {
  TableDocument document;
  document.rows = Rows();
  document.routes = Routes({Route("a", "/a/"), Route("b", "/b/")});
  Failure reason;
  const auto read = TableDocument::Parse(document.ToJson(), &reason);
  cr_assert(read.has_value(), "%s", reason.ToString().c_str());
  cr_assert(*read == document);
}

}  // namespace dragonflytack
