#include "table/column.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace dragonflytack {

namespace {

using nlohmann::json;

constexpr size_t kMaxNameSize = 63;
constexpr int kMaxWeight = 1000;
// Keeps a single row far below the size limit of the whole table.
constexpr size_t kMaxRegions = 100;

bool IsName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameSize &&
         text.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-") ==
             std::string_view::npos;
}

std::optional<int> ParseInteger(std::string_view text) {
  int value = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

std::optional<int> ParseInteger(const json& value) {
  if (!value.is_number_integer()) {
    return std::nullopt;
  }
  // An unsigned value above the range of int64_t would turn negative.
  if (value.is_number_unsigned() &&
      value.get<uint64_t>() > std::numeric_limits<int>::max()) {
    return std::nullopt;
  }
  const auto number = value.get<int64_t>();
  if (number < std::numeric_limits<int>::min() ||
      number > std::numeric_limits<int>::max()) {
    return std::nullopt;
  }
  return static_cast<int>(number);
}

bool ParseServiceText(const Column&, std::string_view text, ServiceRow* row) {
  row->service = text;
  return true;
}

std::string FormatServiceText(const Column&, const ServiceRow& row) {
  return row.service;
}

bool ParseServiceJson(const Column&, const json& value, ServiceRow* row) {
  if (!value.is_string()) {
    return false;
  }
  row->service = value.get<std::string>();
  return true;
}

json FormatServiceJson(const Column&, const ServiceRow& row) {
  return row.service;
}

std::optional<std::string> ValidateService(const Column& column,
                                           const ServiceRow& row) {
  if (IsName(row.service)) {
    return std::nullopt;
  }
  return fmt::format("\"{}\" is not {}", row.service, column.range);
}

bool ParseKindText(const Column&, std::string_view text, ServiceRow* row) {
  if (text != "idempotent" && text != "one_time") {
    return false;
  }
  row->kind =
      text == "one_time" ? ServiceKind::kOneTime : ServiceKind::kIdempotent;
  return true;
}

std::string FormatKindText(const Column&, const ServiceRow& row) {
  return row.kind == ServiceKind::kOneTime ? "one_time" : "idempotent";
}

bool ParseKindJson(const Column& column, const json& value, ServiceRow* row) {
  return value.is_string() &&
         ParseKindText(column, value.get_ref<const std::string&>(), row);
}

json FormatKindJson(const Column& column, const ServiceRow& row) {
  return FormatKindText(column, row);
}

std::optional<std::string> ValidateKind(const Column&, const ServiceRow&) {
  return std::nullopt;
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
    return fmt::format("{} regions are more than {}", row.weights.size(),
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

bool ParseNumberText(const Column& column,
                     std::string_view text,
                     ServiceRow* row) {
  const std::optional<int> number = ParseInteger(text);
  row->*column.number = number.value_or(0);
  return number.has_value();
}

std::string FormatNumberText(const Column& column, const ServiceRow& row) {
  return fmt::format("{}", row.*column.number);
}

bool ParseNumberJson(const Column& column, const json& value, ServiceRow* row) {
  const std::optional<int> number = ParseInteger(value);
  row->*column.number = number.value_or(0);
  return number.has_value();
}

json FormatNumberJson(const Column& column, const ServiceRow& row) {
  return row.*column.number;
}

std::optional<std::string> ValidateNumber(const Column& column,
                                          const ServiceRow& row) {
  const int number = row.*column.number;
  if (number >= column.minimum && number <= column.maximum) {
    return std::nullopt;
  }
  return fmt::format("{} is not in {}-{}", number, column.minimum,
                     column.maximum);
}

constexpr Column NumberColumn(std::string_view name,
                              int ServiceRow::*number,
                              int minimum,
                              int maximum,
                              std::string_view default_text,
                              std::string_view range,
                              std::string_view meaning) {
  return Column{.name = name,
                .meaning = meaning,
                .range = range,
                .default_text = default_text,
                .parse_text = ParseNumberText,
                .format_text = FormatNumberText,
                .parse_json = ParseNumberJson,
                .format_json = FormatNumberJson,
                .validate = ValidateNumber,
                .number = number,
                .minimum = minimum,
                .maximum = maximum};
}

// The defaults are those of ServiceRow; a test compares them. Upper limits
// refuse typing errors and keep products of two columns within an int64_t.
constexpr std::array<Column, 10> kColumns = {
    Column{.name = "service",
           .meaning = "name of the service",
           .range = "1-63 characters of a-z, 0-9 and -",
           .default_text = std::nullopt,
           .parse_text = ParseServiceText,
           .format_text = FormatServiceText,
           .parse_json = ParseServiceJson,
           .format_json = FormatServiceJson,
           .validate = ValidateService},
    Column{.name = "kind",
           .meaning = "call class",
           .range = "idempotent or one_time",
           .default_text = std::nullopt,
           .parse_text = ParseKindText,
           .format_text = FormatKindText,
           .parse_json = ParseKindJson,
           .format_json = FormatKindJson,
           .validate = ValidateKind},
    Column{.name = "weights",
           .meaning = "weight of each region",
           .range = "region=weight pairs separated by ;, weight 0-1000, "
                    "regions not named have 100",
           .default_text = "",
           .parse_text = ParseWeightsText,
           .format_text = FormatWeightsText,
           .parse_json = ParseWeightsJson,
           .format_json = FormatWeightsJson,
           .validate = ValidateWeights},
    NumberColumn("max_concurrency",
                 &ServiceRow::max_concurrency,
                 0,
                 1'000'000,
                 "0",
                 "0-1000000 calls, 0 = unlimited",
                 "calls in flight in the whole service"),
    NumberColumn("max_queue",
                 &ServiceRow::max_queue,
                 0,
                 100'000,
                 "64",
                 "0-100000 calls",
                 "calls waiting beside one endpoint"),
    NumberColumn("max_connections",
                 &ServiceRow::max_connections,
                 1,
                 100'000,
                 "120",
                 "1-100000 connections",
                 "connections to one endpoint"),
    NumberColumn("slots",
                 &ServiceRow::slots,
                 1,
                 10'000,
                 "12",
                 "1-10000 calls",
                 "calls that one endpoint runs at a time"),
    NumberColumn("rate_limit",
                 &ServiceRow::rate_limit,
                 0,
                 10'000'000,
                 "0",
                 "0-10000000 calls/s, 0 = unlimited",
                 "calls a second in the whole service"),
    NumberColumn("deadline_ms",
                 &ServiceRow::deadline_ms,
                 1,
                 600'000,
                 "1000",
                 "1-600000 ms",
                 "time a call may take when the caller names none"),
    NumberColumn("retry_limit",
                 &ServiceRow::retry_limit,
                 0,
                 10,
                 "1",
                 "0-10 attempts",
                 "further attempts after the first one"),
};

}  // namespace

std::span<const Column> Columns() {
  return kColumns;
}

const Column* FindColumn(std::string_view name) {
  const auto found = std::find_if(
      kColumns.begin(), kColumns.end(),
      [name](const Column& column) { return column.name == name; });
  return found == kColumns.end() ? nullptr : &*found;
}

std::string ColumnNames() {
  std::string names;
  for (const Column& column : kColumns) {
    names += names.empty() ? "" : ", ";
    names += column.name;
  }
  return names;
}

std::string CellName(std::string_view service, std::string_view column) {
  return fmt::format("{}/{}", service, column);
}

}  // namespace dragonflytack
