#include <algorithm>
#include <array>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "table/column_factory.h"

namespace dragonflytack {

namespace {

using nlohmann::json;
using Factory = ColumnFactory<ServiceRow>;

constexpr size_t kMaxNameSize = 63;
constexpr int kMaxWeight = 1000;
// Keeps the size of one row far below the limit of the whole table.
constexpr size_t kMaxRegions = 100;

bool IsName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameSize &&
         text.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-") ==
             std::string_view::npos;
}

std::optional<std::string> ValidateService(const Column& column,
                                           const ServiceRow& row) {
  if (IsName(row.service)) {
    return std::nullopt;
  }
  return fmt::format("\"{}\" is invalid; expected {}", row.service,
                     column.range);
}

// Names are sent in headers, which cannot contain control characters.
std::optional<std::string> ValidateAcceptedService(const Column& column,
                                                   const ServiceRow& row) {
  const bool has_control_character =
      std::any_of(row.service.begin(), row.service.end(),
                  [](unsigned char c) { return c < ' ' || c == '\x7f'; });
  if (!row.service.empty() && row.service.size() <= kMaxNameSize &&
      !has_control_character) {
    return std::nullopt;
  }
  return fmt::format("\"{}\" is invalid; expected {}", row.service,
                     column.range);
}

bool ParseWeightsText(const Column&, std::string_view text, ServiceRow* row) {
  row->weights.clear();
  while (!text.empty()) {
    const size_t end = std::min(text.find(';'), text.size());
    const std::string_view pair = text.substr(0, end);
    const size_t equals = pair.find('=');
    if (equals == std::string_view::npos) {
      return false;
    }
    const std::optional<int> weight = ParseInteger(pair.substr(equals + 1));
    if (!weight ||
        !row->weights.emplace(pair.substr(0, equals), *weight).second) {
      return false;
    }
    if (end == text.size()) {
      return true;
    }
    text.remove_prefix(end + 1);
    if (text.empty()) {
      return false;
    }
  }
  return true;
}

std::string FormatWeightsText(const Column&, const ServiceRow& row) {
  std::string text;
  for (const auto& [region, weight] : row.weights) {
    fmt::format_to(std::back_inserter(text), "{}{}={}", text.empty() ? "" : ";",
                   region, weight);
  }
  return text;
}

bool ParseWeightsJson(const Column&, const json& value, ServiceRow* row) {
  if (!value.is_object()) {
    return false;
  }
  row->weights.clear();
  for (const auto& [region, item] : value.items()) {
    const std::optional<int> weight = ParseInteger(item);
    if (!weight) {
      return false;
    }
    row->weights[region] = *weight;
  }
  return true;
}

json FormatWeightsJson(const Column&, const ServiceRow& row) {
  return json(row.weights);
}

std::optional<std::string> ValidateWeights(const Column&,
                                           const ServiceRow& row) {
  if (row.weights.size() > kMaxRegions) {
    return fmt::format("{} regions exceed the limit of {}", row.weights.size(),
                       kMaxRegions);
  }
  for (const auto& [region, weight] : row.weights) {
    if (!IsName(region)) {
      return fmt::format("\"{}\" is not the name of a region", region);
    }
    if (weight < 0 || weight > kMaxWeight) {
      return fmt::format("the weight {} of {} is not in 0-{}", weight, region,
                         kMaxWeight);
    }
  }
  return std::nullopt;
}

// The defaults must equal those of ServiceRow; a test compares them. The upper
// limits catch typing errors and keep products of two columns within an
// int64_t.
constexpr std::array<Column, 10> kColumns = {
    Factory::TextColumn("service",
                        &ServiceRow::service,
                        std::nullopt,
                        "1-63 characters of a-z, 0-9 and -",
                        "name of the service",
                        ValidateService,
                        ValidateAcceptedService),
    Factory::KindColumn(),
    Column{.name = "weights",
           .meaning = "weight of each region",
           .range = "region=weight pairs separated by ;, weight 0-1000, "
                    "other regions have 100",
           .default_text = "",
           .parse_text = ParseWeightsText,
           .format_text = FormatWeightsText,
           .parse_json = ParseWeightsJson,
           .format_json = FormatWeightsJson,
           .validate = ValidateWeights,
           .validate_accepted = ValidateWeights},
    Factory::NumberColumn("max_concurrency",
                          &ServiceRow::max_concurrency,
                          0,
                          1'000'000,
                          "0",
                          "0-1000000 calls, 0 = unlimited",
                          "calls in flight in the whole service"),
    Factory::NumberColumn("max_queue",
                          &ServiceRow::max_queue,
                          0,
                          100'000,
                          "64",
                          "0-100000 calls",
                          "calls waiting beside one endpoint"),
    Factory::NumberColumn("max_connections",
                          &ServiceRow::max_connections,
                          1,
                          ServiceRow::kMaxConnections,
                          "120",
                          "1-100000 connections",
                          "connections to one endpoint"),
    Factory::NumberColumn("slots",
                          &ServiceRow::slots,
                          1,
                          10'000,
                          "12",
                          "1-10000 calls",
                          "calls that one endpoint runs at a time"),
    Factory::NumberColumn("rate_limit",
                          &ServiceRow::rate_limit,
                          0,
                          10'000'000,
                          "0",
                          "0-10000000 calls/s, 0 = unlimited",
                          "calls a second in the whole service"),
    Factory::NumberColumn("deadline_ms",
                          &ServiceRow::deadline_ms,
                          1,
                          600'000,
                          "1000",
                          "1-600000 ms",
                          "time a call may take when the caller names none"),
    Factory::NumberColumn("retry_limit",
                          &ServiceRow::retry_limit,
                          0,
                          10,
                          "1",
                          "0-10 attempts",
                          "further attempts after the first one"),
};

}  // namespace

template <>
std::span<const Column> Columns<ServiceRow>() {
  return kColumns;
}

}  // namespace dragonflytack
