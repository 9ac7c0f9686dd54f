#include "table/table_json.h"

#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "table/column.h"

namespace dragonflytack {

namespace {

using nlohmann::json;

// Returns std::nullopt if the member is missing or is not a string.
std::optional<std::string> StringMember(const json& object, const char* name) {
  const auto found = object.find(name);
  if (found == object.end() || !found->is_string()) {
    return std::nullopt;
  }
  return found->get<std::string>();
}

std::optional<CellEdit> CellFromJson(const json& value) {
  if (!value.is_object()) {
    return std::nullopt;
  }
  Sheet sheet = Sheet::kServices;
  for (const Sheet other : {Sheet::kRoutes, Sheet::kAccounts}) {
    if (value.contains(SheetRowName(other))) {
      sheet = other;
    }
  }
  std::optional<std::string> row = StringMember(value, SheetRowName(sheet));
  std::optional<std::string> column = StringMember(value, "column");
  std::optional<std::string> old_text = StringMember(value, "old");
  std::optional<std::string> new_text = StringMember(value, "new");
  if (!row || !column || !old_text || !new_text) {
    return std::nullopt;
  }
  return CellEdit{*std::move(row), *std::move(column), *std::move(old_text),
                  *std::move(new_text), sheet};
}

}  // namespace

template <typename Row>
json RowToJson(const Row& row) {
  json value = json::object();
  for (const BasicColumn<Row>& column : Columns<Row>()) {
    value[std::string(column.name)] = column.format_json(column, row);
  }
  return value;
}

template <typename Row>
std::optional<Row> RowFromJson(const json& value, Failure* reason) {
  if (!value.is_object()) {
    *reason =
        Failure{FailureCode::kInvalidTable, "table", "a row is not an object"};
    return std::nullopt;
  }
  const std::string key(Columns<Row>().front().name);
  const std::string row_name =
      StringMember(value, key.c_str()).value_or(std::string());
  for (const auto& [name, cell] : value.items()) {
    if (FindColumn<Row>(name) == nullptr) {
      *reason = Failure{FailureCode::kInvalidTable,
                        CellName(kSheetOf<Row>, row_name, name),
                        "there is no such column"};
      return std::nullopt;
    }
  }
  Row row;
  for (const BasicColumn<Row>& column : Columns<Row>()) {
    const auto cell = value.find(column.name);
    if (cell == value.end() && column.default_text) {
      continue;
    }
    if (cell == value.end() || !column.parse_json(column, *cell, &row)) {
      *reason = Failure{FailureCode::kInvalidTable,
                        CellName(kSheetOf<Row>, row_name, column.name),
                        cell == value.end()
                            ? "the value is missing"
                            : fmt::format("the value is not {}", column.range)};
      return std::nullopt;
    }
  }
  return row;
}

template <typename Row>
json RowsToJson(const std::map<std::string, Row>& rows) {
  json array = json::array();
  for (const auto& [name, row] : rows) {
    array.push_back(RowToJson(row));
  }
  return array;
}

template <typename Row>
std::optional<std::map<std::string, Row>> RowsFromJson(const json& array,
                                                       Failure* reason) {
  std::map<std::string, Row> rows;
  for (const json& item : array) {
    std::optional<Row> row = RowFromJson<Row>(item, reason);
    if (!row) {
      return std::nullopt;
    }
    const std::string name = RowName(*row);
    if (!rows.emplace(name, *std::move(row)).second) {
      *reason =
          Failure{FailureCode::kInvalidTable,
                  CellName(kSheetOf<Row>, name, Columns<Row>().front().name),
                  "there are two rows with this name"};
      return std::nullopt;
    }
  }
  return rows;
}

template json RowToJson(const ServiceRow&);
template json RowToJson(const RouteRow&);
template json RowToJson(const AccountRow&);
template std::optional<ServiceRow> RowFromJson(const json&, Failure*);
template std::optional<RouteRow> RowFromJson(const json&, Failure*);
template std::optional<AccountRow> RowFromJson(const json&, Failure*);
template json RowsToJson(const std::map<std::string, ServiceRow>&);
template json RowsToJson(const std::map<std::string, RouteRow>&);
template json RowsToJson(const std::map<std::string, AccountRow>&);
template std::optional<std::map<std::string, ServiceRow>> RowsFromJson(
    const json&,
    Failure*);
template std::optional<std::map<std::string, RouteRow>> RowsFromJson(
    const json&,
    Failure*);
template std::optional<std::map<std::string, AccountRow>> RowsFromJson(
    const json&,
    Failure*);

json CellsToJson(const std::vector<CellEdit>& cells) {
  json list = json::array();
  for (const CellEdit& cell : cells) {
    list.push_back({{SheetRowName(cell.sheet), cell.row},
                    {"column", cell.column},
                    {"old", cell.old_text},
                    {"new", cell.new_text}});
  }
  return list;
}

json EditToJson(const EditRecord& edit) {
  return {{"edit_id", edit.edit_id},
          {"author", edit.author},
          {"time_ms", edit.time_ms},
          {"cells", CellsToJson(edit.cells)}};
}

std::optional<EditRecord> EditFromJson(const json& value, Failure* reason) {
  *reason =
      Failure{FailureCode::kInvalidTable, "recent",
              "expected edits to be objects with edit_id, author, time_ms "
              "and cells"};
  if (!value.is_object()) {
    return std::nullopt;
  }
  std::optional<std::string> edit_id = StringMember(value, "edit_id");
  std::optional<std::string> author = StringMember(value, "author");
  const auto time_ms = value.find("time_ms");
  const auto cells = value.find("cells");
  // An unsigned value above the range of int64_t would become negative below.
  if (!edit_id || !author || time_ms == value.end() ||
      !time_ms->is_number_integer() ||
      (time_ms->is_number_unsigned() &&
       !std::in_range<int64_t>(time_ms->get<uint64_t>())) ||
      cells == value.end() || !cells->is_array()) {
    return std::nullopt;
  }
  EditRecord edit{
      *std::move(edit_id), *std::move(author), time_ms->get<int64_t>(), {}};
  for (const json& item : *cells) {
    std::optional<CellEdit> cell = CellFromJson(item);
    if (!cell) {
      return std::nullopt;
    }
    edit.cells.push_back(*std::move(cell));
  }
  *reason = Failure{};
  return edit;
}

}  // namespace dragonflytack
