#include "dragonflytack/table/table_document.h"

#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "table/table_json.h"

namespace dragonflytack {

namespace {

using nlohmann::json;

Failure DocumentFailure(std::string detail) {
  return Failure{FailureCode::kInvalidTable, "table", std::move(detail)};
}

}  // namespace

std::optional<TableDocument> TableDocument::Parse(const std::string& text,
                                                  Failure* reason) {
  if (text.size() > kMaxBytes) {
    *reason = Failure{
        FailureCode::kTooLarge, "table",
        fmt::format("{} bytes exceed the limit of {}", text.size(), kMaxBytes)};
    return std::nullopt;
  }
  const json value = json::parse(text, nullptr, /*allow_exceptions=*/false);
  const bool has_routes = value.is_object() && value.contains("routes");
  const bool has_accounts = value.is_object() && value.contains("accounts");
  if (!value.is_object() ||
      value.size() != 2U + (has_routes ? 1 : 0) + (has_accounts ? 1 : 0) ||
      !value.contains("rows") || !value["rows"].is_array() ||
      !value.contains("recent") || !value["recent"].is_array() ||
      (has_routes && !value["routes"].is_array()) ||
      (has_accounts && !value["accounts"].is_array())) {
    *reason = DocumentFailure(
        "expected a JSON object with the arrays rows and recent, and "
        "optionally routes and accounts");
    return std::nullopt;
  }
  TableDocument document;
  std::optional<Table::Rows> rows =
      RowsFromJson<ServiceRow>(value["rows"], reason);
  if (!rows) {
    return std::nullopt;
  }
  document.rows = *std::move(rows);
  if (has_routes) {
    std::optional<Table::Routes> routes =
        RowsFromJson<RouteRow>(value["routes"], reason);
    if (!routes) {
      return std::nullopt;
    }
    document.routes = *std::move(routes);
  }
  if (has_accounts) {
    std::optional<Table::Accounts> accounts =
        RowsFromJson<AccountRow>(value["accounts"], reason);
    if (!accounts) {
      return std::nullopt;
    }
    document.accounts = *std::move(accounts);
  }
  for (const json& item : value["recent"]) {
    std::optional<EditRecord> edit = EditFromJson(item, reason);
    if (!edit) {
      return std::nullopt;
    }
    document.recent.push_back(*std::move(edit));
  }
  return document;
}

std::optional<Failure> TableDocument::FindExcessRows() const {
  if (rows.size() > kMaxRows) {
    return Failure{
        FailureCode::kInvalidTable, "table",
        fmt::format("{} rows exceed the limit of {}", rows.size(), kMaxRows)};
  }
  if (routes.size() > kMaxRoutes) {
    return Failure{FailureCode::kInvalidTable, "routes",
                   fmt::format("{} routes exceed the limit of {}",
                               routes.size(), kMaxRoutes)};
  }
  if (accounts.size() > kMaxAccounts) {
    return Failure{FailureCode::kInvalidTable, "accounts",
                   fmt::format("{} accounts exceed the limit of {}",
                               accounts.size(), kMaxAccounts)};
  }
  return std::nullopt;
}

std::string TableDocument::ToJson() const {
  json edit_values = json::array();
  for (const EditRecord& edit : recent) {
    edit_values.push_back(EditToJson(edit));
  }
  json value = {{"rows", RowsToJson(rows)}, {"recent", std::move(edit_values)}};
  if (!routes.empty()) {
    value["routes"] = RowsToJson(routes);
  }
  if (!accounts.empty()) {
    value["accounts"] = RowsToJson(accounts);
  }
  // Replaces invalid UTF-8 in names and texts; the default is to throw.
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace dragonflytack
