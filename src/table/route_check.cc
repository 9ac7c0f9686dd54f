#include "table/route_check.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

#include <fmt/format.h>

#include "table/column.h"

namespace dragonflytack {

namespace {

struct ColumnError {
  std::string_view column;
  std::string detail;
};

std::optional<ColumnError> CheckRoute(
    const std::string& key,
    const RouteRow& route,
    const Table::Rows& rows,
    RouteColumn::Validate RouteColumn::*validate) {
  if (key != route.name) {
    return ColumnError{
        "name", fmt::format("the row contains the name \"{}\"", route.name)};
  }
  for (const RouteColumn& column : Columns<RouteRow>()) {
    if (std::optional<std::string> error = (column.*validate)(column, route)) {
      return ColumnError{column.name, *std::move(error)};
    }
  }
  for (const RouteShare& share : route.shares) {
    if (!rows.contains(share.service)) {
      return ColumnError{
          "shares", fmt::format("there is no service \"{}\"", share.service)};
    }
  }
  return std::nullopt;
}

// Appends a text in a form that ends unambiguously before a space. Texts with
// spaces or control characters are preceded by their length; only these forms
// begin with a control character.
void AppendText(std::string_view text, std::string* encoding) {
  const bool is_plain = std::all_of(text.begin(), text.end(),
                                    [](unsigned char c) { return c > ' '; });
  if (is_plain) {
    encoding->append(text);
  } else {
    fmt::format_to(std::back_inserter(*encoding), "\x01{}:{}", text.size(),
                   text);
  }
}

}  // namespace

std::optional<Failure> CheckRoutes(
    const Table::Routes& routes,
    const Table::Rows& rows,
    RouteColumn::Validate RouteColumn::*validate) {
  std::set<std::pair<std::string_view, std::string_view>> host_prefixes;
  for (const auto& [name, route] : routes) {
    std::optional<ColumnError> error = CheckRoute(name, route, rows, validate);
    if (!error && !host_prefixes.emplace(route.host, route.prefix).second) {
      error =
          ColumnError{"prefix", "another route has the same host and prefix"};
    }
    if (error) {
      return Failure{FailureCode::kInvalidTable,
                     CellName(Sheet::kRoutes, name, error->column),
                     std::move(error->detail)};
    }
  }
  return std::nullopt;
}

void AppendCanonicalEncoding(const Table::Routes& routes,
                             std::string* encoding) {
  for (const auto& [name, route] : routes) {
    for (const std::string_view text :
         {std::string_view(name), std::string_view(route.host),
          std::string_view(route.prefix)}) {
      AppendText(text, encoding);
      encoding->push_back(' ');
    }
    fmt::format_to(std::back_inserter(*encoding), "{} {} {} {} {}",
                   static_cast<int>(route.kind), route.timeout_ms,
                   route.latency_objective_ms, route.rank, route.attempts);
    for (const RouteShare& share : route.shares) {
      encoding->push_back(' ');
      AppendText(share.service, encoding);
      fmt::format_to(std::back_inserter(*encoding), "={}", share.weight);
    }
    if (route.is_public) {
      encoding->append(" public");
    }
    encoding->push_back('\n');
  }
}

}  // namespace dragonflytack
