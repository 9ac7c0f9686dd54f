#ifndef DRAGONFLYTACK_TABLE_COLUMN_H_
#define DRAGONFLYTACK_TABLE_COLUMN_H_

#include <optional>
#include <span>
#include <string>
#include <string_view>

#include <nlohmann/json_fwd.hpp>

#include "dragonflytack/table/route_row.h"
#include "dragonflytack/table/service_row.h"
#include "dragonflytack/table/sheet.h"

namespace dragonflytack {

// One column of a sheet. CSV, cell edits, JSON, validation and help texts all
// use Columns(), so that a column is described in one place.
template <typename Row>
struct BasicColumn final {
  using ParseText = bool (*)(const BasicColumn&, std::string_view, Row*);
  using FormatText = std::string (*)(const BasicColumn&, const Row&);
  using ParseJson = bool (*)(const BasicColumn&, const nlohmann::json&, Row*);
  using FormatJson = nlohmann::json (*)(const BasicColumn&, const Row&);
  // Returns what is wrong with the value, nothing when it is valid.
  using Validate = std::optional<std::string> (*)(const BasicColumn&,
                                                  const Row&);

  std::string_view name;
  std::string_view meaning;
  // Values in words, with the unit.
  std::string_view range;
  // Text of the default; nothing when the value must be given.
  std::optional<std::string_view> default_text;
  // Parsers check the syntax only and set the cell of the row; `validate`
  // checks the range.
  ParseText parse_text;
  FormatText format_text;
  ParseJson parse_json;
  FormatJson format_json;
  Validate validate;
  // For columns that hold a number or a text; null for the others.
  int Row::*number = nullptr;
  int minimum = 0;
  int maximum = 0;
  std::string Row::*text = nullptr;
};

using Column = BasicColumn<ServiceRow>;
using RouteColumn = BasicColumn<RouteRow>;

// Returns all columns of a sheet in the order of CSV files; the first one names
// the row.
template <typename Row = ServiceRow>
std::span<const BasicColumn<Row>> Columns();
template <>
std::span<const Column> Columns<ServiceRow>();
template <>
std::span<const RouteColumn> Columns<RouteRow>();

// What distinguishes the sheets beside their columns.
template <typename Row>
inline constexpr Sheet kSheetOf = Sheet::kServices;
template <>
inline constexpr Sheet kSheetOf<RouteRow> = Sheet::kRoutes;

// Returns the name of a row: the cell of its first column.
template <typename Row>
const std::string& RowName(const Row& row) {
  return row.*(Columns<Row>().front().text);
}

// Returns nothing when there is no such column.
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

// Returns the name of a row with its sheet: "name" or "route name".
std::string RowLabel(Sheet sheet, std::string_view row);

// Returns the name of a cell as failures use it in their subject:
// "service/column" or "route name/column".
std::string CellName(Sheet sheet,
                     std::string_view row,
                     std::string_view column);

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_TABLE_COLUMN_H_
