#include "table/route_check.h"

#include <iterator>
#include <set>
#include <utility>

#include <fmt/format.h>

#include "table/column.h"

namespace dragonflytack {

namespace {

struct ColumnFault {
  std::string_view column;
  std::string detail;
};

std::optional<ColumnFault> CheckRoute(const std::string& key,
                                      const RouteRow& route,
                                      const Table::Rows& rows) {
  if (key != route.name) {
    return ColumnFault{"name",
                       fmt::format("the row is named \"{}\"", route.name)};
  }
  for (const RouteColumn& column : Columns<RouteRow>()) {
    if (std::optional<std::string> fault = column.validate(column, route)) {
      return ColumnFault{column.name, *std::move(fault)};
    }
  }
  for (const RouteShare& share : route.shares) {
    if (!rows.contains(share.service)) {
      return ColumnFault{
          "shares", fmt::format("there is no service \"{}\"", share.service)};
    }
  }
  return std::nullopt;
}

}  // namespace

std::optional<Failure> CheckRoutes(const Table::Routes& routes,
                                   const Table::Rows& rows) {
  if (routes.size() > Table::kMaxRoutes) {
    return Failure{FailureCode::kInvalidTable, "routes",
                   fmt::format("{} routes are more than {}", routes.size(),
                               Table::kMaxRoutes)};
  }
  std::set<std::pair<std::string_view, std::string_view>> places;
  for (const auto& [name, route] : routes) {
    std::optional<ColumnFault> fault = CheckRoute(name, route, rows);
    if (!fault && !places.emplace(route.host, route.prefix).second) {
      fault =
          ColumnFault{"prefix", "another route has the same host and prefix"};
    }
    if (fault) {
      return Failure{FailureCode::kInvalidTable,
                     CellName(Sheet::kRoutes, name, fault->column),
                     std::move(fault->detail)};
    }
  }
  return std::nullopt;
}

void AppendCanonical(const Table::Routes& routes, std::string* encoding) {
  for (const auto& [name, route] : routes) {
    // The texts hold no spaces, so a space separates them unambiguously.
    fmt::format_to(std::back_inserter(*encoding), "{} {} {} {} {} {} {} {}",
                   name, route.host, route.prefix, static_cast<int>(route.kind),
                   route.timeout_ms, route.latency_objective_ms, route.rank,
                   route.attempts);
    for (const RouteShare& share : route.shares) {
      fmt::format_to(std::back_inserter(*encoding), " {}={}", share.service,
                     share.weight);
    }
    encoding->push_back('\n');
  }
}

}  // namespace dragonflytack
