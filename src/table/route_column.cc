#include <algorithm>
#include <array>
#include <iterator>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "table/column_factory.h"

namespace dragonflytack {

namespace {

using nlohmann::json;
using Factory = ColumnFactory<RouteRow>;

// Maximum length of a host name (RFC 1035 section 2.3.4). It also limits the
// name of a route.
constexpr size_t kMaxNameBytes = 253;
constexpr size_t kMaxPrefixBytes = 1024;
constexpr size_t kMaxShares = 64;

bool IsPrintable(std::string_view text) {
  return std::all_of(text.begin(), text.end(),
                     [](char c) { return c > ' ' && c <= '~'; });
}

std::optional<std::string> ErrorUnless(bool valid,
                                       const RouteColumn& column,
                                       const RouteRow& row) {
  if (valid) {
    return std::nullopt;
  }
  return fmt::format("\"{}\" is invalid; expected {}", row.*column.text,
                     column.range);
}

std::optional<std::string> ValidateName(const RouteColumn& column,
                                        const RouteRow& row) {
  return ErrorUnless(!row.name.empty() && row.name.size() <= kMaxNameBytes &&
                         IsPrintable(row.name),
                     column, row);
}

std::optional<std::string> ValidateHost(const RouteColumn& column,
                                        const RouteRow& row) {
  return ErrorUnless(
      !row.host.empty() && row.host.size() <= kMaxNameBytes &&
          IsPrintable(row.host) &&
          std::none_of(row.host.begin(), row.host.end(),
                       [](char c) { return c >= 'A' && c <= 'Z'; }),
      column, row);
}

std::optional<std::string> ValidatePrefix(const RouteColumn& column,
                                          const RouteRow& row) {
  return ErrorUnless(row.prefix.size() <= kMaxPrefixBytes &&
                         row.prefix.starts_with('/') &&
                         row.prefix.ends_with('/') && IsPrintable(row.prefix),
                     column, row);
}

std::optional<std::string> ValidateAcceptedName(const RouteColumn& column,
                                                const RouteRow& row) {
  return ErrorUnless(
      !row.name.empty() && row.name.size() <= RouteRow::kMaxTextBytes, column,
      row);
}

std::optional<std::string> ValidateAcceptedPrefix(const RouteColumn& column,
                                                  const RouteRow& row) {
  return ErrorUnless(row.prefix.size() <= RouteRow::kMaxTextBytes &&
                         row.prefix.starts_with('/') &&
                         row.prefix.ends_with('/'),
                     column, row);
}

bool ParseSharesText(const RouteColumn&, std::string_view text, RouteRow* row) {
  row->shares.clear();
  while (true) {
    const size_t end = std::min(text.find(';'), text.size());
    const std::string_view share = text.substr(0, end);
    const size_t equals = share.find('=');
    const std::optional<int> weight =
        equals == std::string_view::npos
            ? std::optional(1)
            : ParseInteger(share.substr(equals + 1));
    if (share.empty() || equals == 0 || !weight) {
      return false;
    }
    row->shares.push_back(
        RouteShare{std::string(share.substr(0, equals)), *weight});
    if (end == text.size()) {
      return true;
    }
    text.remove_prefix(end + 1);
  }
}

std::string FormatSharesText(const RouteColumn&, const RouteRow& row) {
  std::string text;
  for (const RouteShare& share : row.shares) {
    fmt::format_to(std::back_inserter(text), "{}{}={}", text.empty() ? "" : ";",
                   share.service, share.weight);
  }
  return text;
}

bool ParseSharesJson(const RouteColumn&, const json& value, RouteRow* row) {
  if (!value.is_array()) {
    return false;
  }
  row->shares.clear();
  for (const json& item : value) {
    if (!item.is_object() || !item.contains("service") ||
        !item["service"].is_string() || !item.contains("weight")) {
      return false;
    }
    const std::optional<int> weight = ParseInteger(item["weight"]);
    if (!weight) {
      return false;
    }
    row->shares.push_back(
        RouteShare{item["service"].get<std::string>(), *weight});
  }
  return true;
}

json FormatSharesJson(const RouteColumn&, const RouteRow& row) {
  json array = json::array();
  for (const RouteShare& share : row.shares) {
    array.push_back({{"service", share.service}, {"weight", share.weight}});
  }
  return array;
}

// CheckRoutes() checks that the services exist, since this needs the other
// sheet.
std::optional<std::string> ValidateShares(const RouteColumn&,
                                          const RouteRow& row) {
  if (row.shares.empty() || row.shares.size() > kMaxShares) {
    return fmt::format("expected 1 to {} services", kMaxShares);
  }
  bool has_positive_weight = false;
  for (const RouteShare& share : row.shares) {
    if (share.weight < 0 || share.weight > RouteShare::kMaxWeight) {
      return fmt::format("the weight {} of {} is not in 0-{}", share.weight,
                         share.service, RouteShare::kMaxWeight);
    }
    has_positive_weight |= share.weight > 0;
  }
  return has_positive_weight ? std::nullopt
                             : std::optional<std::string>("all weights are 0");
}

bool ParsePublicText(const RouteColumn&, std::string_view text, RouteRow* row) {
  row->is_public = text == "yes";
  return text == "yes" || text == "no";
}

std::string FormatPublicText(const RouteColumn&, const RouteRow& row) {
  return row.is_public ? "yes" : "no";
}

bool ParsePublicJson(const RouteColumn&, const json& value, RouteRow* row) {
  row->is_public = value == true;
  return value.is_boolean();
}

json FormatPublicJson(const RouteColumn&, const RouteRow& row) {
  return row.is_public;
}

// The defaults must equal those of RouteRow; a test compares them.
constexpr std::array<RouteColumn, 10> kRouteColumns = {
    Factory::TextColumn("name",
                        &RouteRow::name,
                        std::nullopt,
                        "1-253 printable characters without spaces",
                        "name of the route",
                        ValidateName,
                        ValidateAcceptedName),
    Factory::TextColumn("host",
                        &RouteRow::host,
                        std::nullopt,
                        "a host name in lower case without a port",
                        "value of the header Host of its calls",
                        ValidateHost,
                        ValidateHost),
    Factory::TextColumn("prefix",
                        &RouteRow::prefix,
                        "/",
                        "a path that begins and ends with /",
                        "prefix of the path of its calls",
                        ValidatePrefix,
                        ValidateAcceptedPrefix),
    Factory::KindColumn(),
    Factory::NumberColumn("timeout_ms",
                          &RouteRow::timeout_ms,
                          1,
                          RouteRow::kMaxTimeoutMs,
                          "1000",
                          "1-600000 ms",
                          "maximum duration of a call"),
    Factory::NumberColumn("latency_objective_ms",
                          &RouteRow::latency_objective_ms,
                          0,
                          RouteRow::kMaxTimeoutMs,
                          "0",
                          "0-600000 ms, 0 = none",
                          "latency up to which a response is of full use"),
    Factory::NumberColumn("rank",
                          &RouteRow::rank,
                          0,
                          RouteRow::kMaxRank,
                          "0",
                          "0-1000, 0 = most urgent",
                          "urgency"),
    Factory::NumberColumn("attempts",
                          &RouteRow::attempts,
                          1,
                          RouteRow::kMaxAttempts,
                          "1",
                          "1-100 targets",
                          "targets that one call may reach"),
    RouteColumn{.name = "shares",
                .meaning = "services among which calls are divided",
                .range = "service=weight pairs separated by ;, weight "
                         "0-1000000, 1 if omitted",
                .default_text = std::nullopt,
                .parse_text = ParseSharesText,
                .format_text = FormatSharesText,
                .parse_json = ParseSharesJson,
                .format_json = FormatSharesJson,
                .validate = ValidateShares,
                .validate_accepted = ValidateShares},
    RouteColumn{.name = "public",
                .meaning = "whether calls need no API key",
                .range = "yes or no",
                .default_text = "no",
                .parse_text = ParsePublicText,
                .format_text = FormatPublicText,
                .parse_json = ParsePublicJson,
                .format_json = FormatPublicJson,
                .validate = Factory::AcceptAll,
                .validate_accepted = Factory::AcceptAll},
};

}  // namespace

template <>
std::span<const RouteColumn> Columns<RouteRow>() {
  return kRouteColumns;
}

}  // namespace dragonflytack
