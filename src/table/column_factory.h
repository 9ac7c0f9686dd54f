#ifndef DRAGONFLYTACK_TABLE_COLUMN_FACTORY_H_
#define DRAGONFLYTACK_TABLE_COLUMN_FACTORY_H_

#include <optional>
#include <string>
#include <string_view>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "dragonflytack/table/service_kind.h"
#include "table/column.h"

namespace dragonflytack {

// Parses an integer in decimal digits. Returns std::nullopt for other texts and
// values, and for numbers out of the range of int.
std::optional<int> ParseInteger(std::string_view text);
std::optional<int> ParseInteger(const nlohmann::json& value);

// Creates the types of columns that both sheets have: text, kind and number.
template <typename Row>
struct ColumnFactory final {
  using ColumnOf = BasicColumn<Row>;

  static bool ParseText(const ColumnOf& column,
                        std::string_view text,
                        Row* row) {
    row->*column.text = text;
    return true;
  }
  static std::string FormatText(const ColumnOf& column, const Row& row) {
    return row.*column.text;
  }
  static bool ParseTextJson(const ColumnOf& column,
                            const nlohmann::json& value,
                            Row* row) {
    if (!value.is_string()) {
      return false;
    }
    row->*column.text = value.get<std::string>();
    return true;
  }
  static nlohmann::json FormatTextJson(const ColumnOf& column, const Row& row) {
    return row.*column.text;
  }

  static bool ParseKind(const ColumnOf&, std::string_view text, Row* row) {
    if (text != "idempotent" && text != "one_time") {
      return false;
    }
    row->kind =
        text == "one_time" ? ServiceKind::kOneTime : ServiceKind::kIdempotent;
    return true;
  }
  static std::string FormatKind(const ColumnOf&, const Row& row) {
    return row.kind == ServiceKind::kOneTime ? "one_time" : "idempotent";
  }
  static bool ParseKindJson(const ColumnOf& column,
                            const nlohmann::json& value,
                            Row* row) {
    return value.is_string() &&
           ParseKind(column, value.get_ref<const std::string&>(), row);
  }
  static nlohmann::json FormatKindJson(const ColumnOf& column, const Row& row) {
    return FormatKind(column, row);
  }
  static std::optional<std::string> AcceptAll(const ColumnOf&, const Row&) {
    return std::nullopt;
  }

  static bool ParseNumber(const ColumnOf& column,
                          std::string_view text,
                          Row* row) {
    const std::optional<int> number = ParseInteger(text);
    row->*column.number = number.value_or(0);
    return number.has_value();
  }
  static std::string FormatNumber(const ColumnOf& column, const Row& row) {
    return fmt::format("{}", row.*column.number);
  }
  static bool ParseNumberJson(const ColumnOf& column,
                              const nlohmann::json& value,
                              Row* row) {
    const std::optional<int> number = ParseInteger(value);
    row->*column.number = number.value_or(0);
    return number.has_value();
  }
  static nlohmann::json FormatNumberJson(const ColumnOf& column,
                                         const Row& row) {
    return row.*column.number;
  }
  static std::optional<std::string> ValidateNumber(const ColumnOf& column,
                                                   const Row& row) {
    const int number = row.*column.number;
    if (number >= column.minimum && number <= column.maximum) {
      return std::nullopt;
    }
    return fmt::format("{} is not in {}-{}", number, column.minimum,
                       column.maximum);
  }

  static constexpr ColumnOf TextColumn(
      std::string_view name,
      std::string Row::*text,
      std::optional<std::string_view> default_text,
      std::string_view range,
      std::string_view meaning,
      typename ColumnOf::Validate validate,
      typename ColumnOf::Validate validate_accepted) {
    return ColumnOf{.name = name,
                    .meaning = meaning,
                    .range = range,
                    .default_text = default_text,
                    .parse_text = ParseText,
                    .format_text = FormatText,
                    .parse_json = ParseTextJson,
                    .format_json = FormatTextJson,
                    .validate = validate,
                    .validate_accepted = validate_accepted,
                    .text = text};
  }

  static constexpr ColumnOf KindColumn() {
    return ColumnOf{.name = "kind",
                    .meaning = "call class",
                    .range = "idempotent or one_time",
                    .default_text = std::nullopt,
                    .parse_text = ParseKind,
                    .format_text = FormatKind,
                    .parse_json = ParseKindJson,
                    .format_json = FormatKindJson,
                    .validate = AcceptAll,
                    .validate_accepted = AcceptAll};
  }

  static constexpr ColumnOf NumberColumn(std::string_view name,
                                         int Row::*number,
                                         int minimum,
                                         int maximum,
                                         std::string_view default_text,
                                         std::string_view range,
                                         std::string_view meaning) {
    return ColumnOf{.name = name,
                    .meaning = meaning,
                    .range = range,
                    .default_text = default_text,
                    .parse_text = ParseNumber,
                    .format_text = FormatNumber,
                    .parse_json = ParseNumberJson,
                    .format_json = FormatNumberJson,
                    .validate = ValidateNumber,
                    .validate_accepted = ValidateNumber,
                    .number = number,
                    .minimum = minimum,
                    .maximum = maximum};
  }
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_TABLE_COLUMN_FACTORY_H_
