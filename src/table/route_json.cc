#include "table/route_json.h"

#include <string>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace dragonflytack {

namespace {

using nlohmann::json;

constexpr const char* kTextColumns[] = {"name", "host", "prefix"};
constexpr const char* kNumberColumns[] = {"timeout_ms", "latency_objective_ms",
                                          "rank", "attempts"};
constexpr std::string RouteRow::*kTexts[] = {&RouteRow::name, &RouteRow::host,
                                             &RouteRow::prefix};
constexpr int RouteRow::*kNumbers[] = {&RouteRow::timeout_ms,
                                       &RouteRow::latency_objective_ms,
                                       &RouteRow::rank, &RouteRow::attempts};

bool ReadInt(const json& value, int* number) {
  if (!value.is_number_integer() ||
      (value.is_number_unsigned() &&
       !std::in_range<int>(value.get<uint64_t>())) ||
      (!value.is_number_unsigned() &&
       !std::in_range<int>(value.get<int64_t>()))) {
    return false;
  }
  *number = value.get<int>();
  return true;
}

bool ReadShares(const json& value, std::vector<RouteShare>* shares) {
  if (!value.is_array()) {
    return false;
  }
  for (const json& item : value) {
    RouteShare share;
    if (!item.is_object() || !item.contains("service") ||
        !item["service"].is_string() || !item.contains("weight") ||
        !ReadInt(item["weight"], &share.weight)) {
      return false;
    }
    share.service = item["service"].get<std::string>();
    shares->push_back(std::move(share));
  }
  return true;
}

// Returns the first column that cannot be read, null when all can.
const char* ReadRoute(const json& item, RouteRow* route) {
  for (size_t i = 0; i < std::size(kTextColumns); ++i) {
    const auto cell = item.find(kTextColumns[i]);
    if (cell == item.end() || !cell->is_string()) {
      return kTextColumns[i];
    }
    route->*kTexts[i] = cell->get<std::string>();
  }
  for (size_t i = 0; i < std::size(kNumberColumns); ++i) {
    const auto cell = item.find(kNumberColumns[i]);
    if (cell == item.end() || !ReadInt(*cell, &(route->*kNumbers[i]))) {
      return kNumberColumns[i];
    }
  }
  const auto kind = item.find("kind");
  if (kind == item.end() || (*kind != "idempotent" && *kind != "one_time")) {
    return "kind";
  }
  route->kind =
      *kind == "idempotent" ? ServiceKind::kIdempotent : ServiceKind::kOneTime;
  const auto shares = item.find("shares");
  if (shares == item.end() || !ReadShares(*shares, &route->shares)) {
    return "shares";
  }
  return nullptr;
}

}  // namespace

json RoutesToJson(const Table::Routes& routes) {
  json array = json::array();
  for (const auto& [name, route] : routes) {
    json item = json::object();
    for (size_t i = 0; i < std::size(kTextColumns); ++i) {
      item[kTextColumns[i]] = route.*kTexts[i];
    }
    for (size_t i = 0; i < std::size(kNumberColumns); ++i) {
      item[kNumberColumns[i]] = route.*kNumbers[i];
    }
    item["kind"] =
        route.kind == ServiceKind::kIdempotent ? "idempotent" : "one_time";
    item["shares"] = json::array();
    for (const RouteShare& share : route.shares) {
      item["shares"].push_back(
          {{"service", share.service}, {"weight", share.weight}});
    }
    array.push_back(std::move(item));
  }
  return array;
}

bool RoutesFromJson(const json& array, Table::Routes* routes, Failure* reason) {
  for (const json& item : array) {
    RouteRow route;
    const char* const column =
        item.is_object() ? ReadRoute(item, &route) : "name";
    if (column != nullptr) {
      *reason = Failure{FailureCode::kInvalidTable,
                        fmt::format("route {}/{}", route.name, column),
                        "the value is missing or of another type"};
      return false;
    }
    std::string name = route.name;
    if (!routes->emplace(name, std::move(route)).second) {
      *reason = Failure{FailureCode::kInvalidTable,
                        fmt::format("route {}/name", name),
                        "there are two routes of this name"};
      return false;
    }
  }
  return true;
}

}  // namespace dragonflytack
