#include "table/table_json.h"

#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "table/column.h"

namespace dragonflytack {

namespace {

using nlohmann::json;

// Returns the member as a string, nothing when it is not there or not a string.
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
  std::optional<std::string> service = StringMember(value, "service");
  std::optional<std::string> column = StringMember(value, "column");
  std::optional<std::string> old_text = StringMember(value, "old");
  std::optional<std::string> new_text = StringMember(value, "new");
  if (!service || !column || !old_text || !new_text) {
    return std::nullopt;
  }
  return CellEdit{*std::move(service), *std::move(column), *std::move(old_text),
                  *std::move(new_text)};
}

}  // namespace

json RowToJson(const ServiceRow& row) {
  json value = json::object();
  for (const Column& column : Columns()) {
    value[std::string(column.name)] = column.format_json(column, row);
  }
  return value;
}

std::optional<ServiceRow> RowFromJson(const json& value, Failure* reason) {
  if (!value.is_object()) {
    *reason =
        Failure{FailureCode::kInvalidTable, "table", "a row is not an object"};
    return std::nullopt;
  }
  const std::string service =
      StringMember(value, "service").value_or(std::string());
  for (const auto& [name, cell] : value.items()) {
    if (FindColumn(name) == nullptr) {
      *reason = Failure{FailureCode::kInvalidTable, CellName(service, name),
                        "there is no such column"};
      return std::nullopt;
    }
  }
  ServiceRow row;
  for (const Column& column : Columns()) {
    const auto cell = value.find(column.name);
    if (cell == value.end() && column.default_text) {
      continue;
    }
    if (cell == value.end() || !column.parse_json(column, *cell, &row)) {
      *reason =
          Failure{FailureCode::kInvalidTable, CellName(service, column.name),
                  cell == value.end()
                      ? "the value is missing"
                      : fmt::format("the value is not {}", column.range)};
      return std::nullopt;
    }
  }
  return row;
}

json EditToJson(const EditRecord& edit) {
  json cells = json::array();
  for (const CellEdit& cell : edit.cells) {
    cells.push_back({{"service", cell.service},
                     {"column", cell.column},
                     {"old", cell.old_text},
                     {"new", cell.new_text}});
  }
  return {{"edit_id", edit.edit_id},
          {"author", edit.author},
          {"time_ms", edit.time_ms},
          {"cells", std::move(cells)}};
}

std::optional<EditRecord> EditFromJson(const json& value, Failure* reason) {
  *reason = Failure{FailureCode::kInvalidTable, "recent",
                    "an edit is not an object with edit_id, author, time_ms "
                    "and cells"};
  if (!value.is_object()) {
    return std::nullopt;
  }
  std::optional<std::string> edit_id = StringMember(value, "edit_id");
  std::optional<std::string> author = StringMember(value, "author");
  const auto time_ms = value.find("time_ms");
  const auto cells = value.find("cells");
  // An unsigned value above the range of int64_t would turn negative.
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
