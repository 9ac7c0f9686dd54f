#ifndef DRAGONFLYTACK_TABLE_COLUMN_H_
#define DRAGONFLYTACK_TABLE_COLUMN_H_

#include <optional>
#include <span>
#include <string>
#include <string_view>

#include <fmt/format.h>
#include <nlohmann/json_fwd.hpp>

#include "dragonflytack/table/account_row.h"
#include "dragonflytack/table/route_row.h"
#include "dragonflytack/table/service_row.h"
#include "dragonflytack/table/sheet.h"

namespace dragonflytack {

// Description of one column of a sheet. CSV, cell edits, JSON, validation and
// help texts all use Columns(), so that a column is defined in one place.
template <typename Row>
struct BasicColumn final {
  using ParseText = bool (*)(const BasicColumn&, std::string_view, Row*);
  using FormatText = std::string (*)(const BasicColumn&, const Row&);
  using ParseJson = bool (*)(const BasicColumn&, const nlohmann::json&, Row*);
  using FormatJson = nlohmann::json (*)(const BasicColumn&, const Row&);
  // Returns an error message, or std::nullopt if the value is valid.
  using Validate = std::optional<std::string> (*)(const BasicColumn&,
                                                  const Row&);

  std::string_view name;
  std::string_view meaning;
  // Description of the valid values, with the unit.
  std::string_view range;
  // Text of the default; std::nullopt if the value is required.
  std::optional<std::string_view> default_text;
  // The parsers set the cell of the row and return whether the syntax is valid;
  // `validate` checks the range.
  ParseText parse_text;
  FormatText format_text;
  ParseJson parse_json;
  FormatJson format_json;
  Validate validate;
  // Check of a table that a store has accepted. It is wider than `validate` for
  // texts, which another system's operators choose by rules of their own.
  Validate validate_accepted;
  // Member of the row, for columns of numbers or texts; null for others.
  int Row::*number = nullptr;
  int minimum = 0;
  int maximum = 0;
  std::string Row::*text = nullptr;
};

using Column = BasicColumn<ServiceRow>;
using RouteColumn = BasicColumn<RouteRow>;
using AccountColumn = BasicColumn<AccountRow>;

// Returns all columns of a sheet in the order of CSV files. The first one
// contains the name of the row.
template <typename Row = ServiceRow>
std::span<const BasicColumn<Row>> Columns();
template <>
std::span<const Column> Columns<ServiceRow>();
template <>
std::span<const RouteColumn> Columns<RouteRow>();
template <>
std::span<const AccountColumn> Columns<AccountRow>();

// The sheet to which rows of a type belong.
template <typename Row>
inline constexpr Sheet kSheetOf = Sheet::kServices;
template <>
inline constexpr Sheet kSheetOf<RouteRow> = Sheet::kRoutes;
template <>
inline constexpr Sheet kSheetOf<AccountRow> = Sheet::kAccounts;

// Returns the name of a row: the cell of its first column.
template <typename Row>
const std::string& RowName(const Row& row) {
  return row.*(Columns<Row>().front().text);
}

// Returns null if there is no such column.
template <typename Row = ServiceRow>
const BasicColumn<Row>* FindColumn(std::string_view name) {
  for (const BasicColumn<Row>& column : Columns<Row>()) {
    if (column.name == name) {
      return &column;
    }
  }
  return nullptr;
}

// Returns the names of all columns, separated by commas, for error messages.
template <typename Row = ServiceRow>
std::string ColumnNames() {
  std::string names;
  for (const BasicColumn<Row>& column : Columns<Row>()) {
    names += names.empty() ? "" : ", ";
    names += column.name;
  }
  return names;
}

// Returns the error for a text that is not a value of the column. It contains
// the text, except on the sheet of accounts: an operator may have entered an
// API key without "key:" or in another column, and errors are printed and
// logged.
template <typename Row>
std::string InvalidText(const BasicColumn<Row>& column, std::string_view text) {
  return kSheetOf<Row> == Sheet::kAccounts
             ? fmt::format("the text is invalid; expected {}", column.range)
             : fmt::format("\"{}\" is invalid; expected {}", text,
                           column.range);
}

// Returns what a row of the sheet stands for: "service", "route" or "account".
const char* SheetRowName(Sheet sheet);

// Prefix of an API key that an operator enters to be digested.
inline constexpr std::string_view kPlainKeyPrefix = "key:";

// Returns the name of a row for the subject of failures. Long names are
// shortened, and an API key that was entered as a name is omitted.
std::string_view SubjectName(Sheet sheet, std::string_view row);

// Returns "name" for a service, "route name" for a route and "account name" for
// an account.
std::string RowLabel(Sheet sheet, std::string_view row);

// Returns the name of a cell for the subject of failures: "service/column",
// "route name/column" or "account name/column", with the SubjectName().
std::string CellName(Sheet sheet,
                     std::string_view row,
                     std::string_view column);

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_TABLE_COLUMN_H_
