#ifndef DRAGONFLYTACK_TABLE_COLUMN_H_
#define DRAGONFLYTACK_TABLE_COLUMN_H_

#include <optional>
#include <span>
#include <string>
#include <string_view>

#include <nlohmann/json_fwd.hpp>

#include "dragonflytack/table/service_row.h"

namespace dragonflytack {

// One column of the table. CSV, cell edits, JSON, validation and help texts all
// use Columns(), so that a column is described in one place.
struct Column final {
  using ParseText = bool (*)(const Column&, std::string_view, ServiceRow*);
  using FormatText = std::string (*)(const Column&, const ServiceRow&);
  using ParseJson = bool (*)(const Column&, const nlohmann::json&, ServiceRow*);
  using FormatJson = nlohmann::json (*)(const Column&, const ServiceRow&);
  // Returns what is wrong with the value, nothing when it is valid.
  using Validate = std::optional<std::string> (*)(const Column&,
                                                  const ServiceRow&);

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
  // For columns that hold a number; null for the others.
  int ServiceRow::*number = nullptr;
  int minimum = 0;
  int maximum = 0;
};

// Returns all columns in the order of CSV files; the first one is "service".
std::span<const Column> Columns();

// Returns nothing when there is no such column.
const Column* FindColumn(std::string_view name);

// Returns the names of all columns, separated by commas, for error messages.
std::string ColumnNames();

// Returns the name of a cell as failures use it in their subject:
// "service/column".
std::string CellName(std::string_view service, std::string_view column);

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_TABLE_COLUMN_H_
