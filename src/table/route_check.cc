#include "table/route_check.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

#include <fmt/format.h>

namespace dragonflytack {

namespace {

// As long as a host name may be (RFC 1035 section 2.3.4).
constexpr size_t kMaxNameBytes = 253;
constexpr size_t kMaxPrefixBytes = 1024;
constexpr size_t kMaxShares = 64;
constexpr int kMaxWeight = 1'000'000;
constexpr int kMaxTimeoutMs = 600'000;
constexpr int kMaxRank = 1'000;
constexpr int kMaxAttempts = 100;

bool IsPrintable(const std::string& text) {
  return std::all_of(text.begin(), text.end(),
                     [](char c) { return c > ' ' && c <= '~'; });
}

struct ColumnFault {
  const char* column;
  std::string detail;
};

std::optional<ColumnFault> CheckShares(const RouteRow& route,
                                       const Table::Rows& rows) {
  if (route.shares.empty() || route.shares.size() > kMaxShares) {
    return ColumnFault{"shares",
                       fmt::format("1 to {} services are needed", kMaxShares)};
  }
  bool any = false;
  for (const RouteShare& share : route.shares) {
    if (!rows.contains(share.service)) {
      return ColumnFault{
          "shares", fmt::format("there is no service \"{}\"", share.service)};
    }
    if (share.weight < 0 || share.weight > kMaxWeight) {
      return ColumnFault{"shares",
                         fmt::format("a weight is not 0 to {}", kMaxWeight)};
    }
    any |= share.weight > 0;
  }
  if (!any) {
    return ColumnFault{"shares", "all weights are 0"};
  }
  return std::nullopt;
}

std::optional<ColumnFault> CheckRoute(const std::string& key,
                                      const RouteRow& route,
                                      const Table::Rows& rows) {
  if (key != route.name || key.empty() || key.size() > kMaxNameBytes ||
      !IsPrintable(key)) {
    return ColumnFault{
        "name", fmt::format("it is not 1 to {} printable characters that name "
                            "the row",
                            kMaxNameBytes)};
  }
  if (route.host.empty() || route.host.size() > kMaxNameBytes ||
      !IsPrintable(route.host) ||
      std::any_of(route.host.begin(), route.host.end(),
                  [](char c) { return c >= 'A' && c <= 'Z'; })) {
    return ColumnFault{"host", "it is not a host name in lower case"};
  }
  if (route.prefix.size() > kMaxPrefixBytes || !route.prefix.starts_with('/') ||
      !route.prefix.ends_with('/') || !IsPrintable(route.prefix)) {
    return ColumnFault{"prefix", "it does not begin and end with /"};
  }
  const std::pair<const char*, bool> numbers[] = {
      {"timeout_ms",
       route.timeout_ms >= 1 && route.timeout_ms <= kMaxTimeoutMs},
      {"latency_objective_ms", route.latency_objective_ms >= 0 &&
                                   route.latency_objective_ms <= kMaxTimeoutMs},
      {"rank", route.rank >= 0 && route.rank <= kMaxRank},
      {"attempts", route.attempts >= 1 && route.attempts <= kMaxAttempts}};
  for (const auto& [column, valid] : numbers) {
    if (!valid) {
      return ColumnFault{column, "the number is out of range"};
    }
  }
  return CheckShares(route, rows);
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
                     fmt::format("route {}/{}", name, fault->column),
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
