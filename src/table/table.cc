#include "dragonflytack/table/table.h"

#include <utility>

#include <fmt/format.h>

#include "dragonflytack/base/hash.h"
#include "table/account_check.h"
#include "table/column.h"
#include "table/route_check.h"

namespace dragonflytack {

namespace {

// Precedes each cell with its length, so that different rows have different
// encodings.
std::string CanonicalEncoding(const Table::Rows& rows) {
  std::string encoding;
  for (const auto& [service, row] : rows) {
    for (const Column& column : Columns()) {
      const std::string text = column.format_text(column, row);
      fmt::format_to(std::back_inserter(encoding), "{}:{},", text.size(), text);
    }
  }
  return encoding;
}

std::optional<Failure> ValidateRow(const std::string& key,
                                   const ServiceRow& row,
                                   Column::Validate Column::*validate) {
  if (key != row.service) {
    return Failure{
        FailureCode::kInvalidTable, CellName(Sheet::kServices, key, "service"),
        fmt::format("the row contains the name \"{}\"", row.service)};
  }
  for (const Column& column : Columns()) {
    if (std::optional<std::string> error = (column.*validate)(column, row)) {
      return Failure{FailureCode::kInvalidTable,
                     CellName(Sheet::kServices, key, column.name),
                     *std::move(error)};
    }
  }
  return std::nullopt;
}

}  // namespace

std::shared_ptr<const Table> Table::Make(TableVersion version,
                                         Rows rows,
                                         Routes routes,
                                         Accounts accounts,
                                         Failure* reason) {
  return MakeFrom(Origin::kEditor, version, std::move(rows), std::move(routes),
                  std::move(accounts), reason);
}

std::shared_ptr<const Table> Table::MakeAccepted(TableVersion version,
                                                 Rows rows,
                                                 Routes routes,
                                                 Accounts accounts,
                                                 Failure* reason) {
  return MakeFrom(Origin::kAccepted, version, std::move(rows),
                  std::move(routes), std::move(accounts), reason);
}

std::shared_ptr<const Table> Table::MakeFrom(Origin origin,
                                             TableVersion version,
                                             Rows rows,
                                             Routes routes,
                                             Accounts accounts,
                                             Failure* reason) {
  const bool is_accepted = origin == Origin::kAccepted;
  const auto validate_row =
      is_accepted ? &Column::validate_accepted : &Column::validate;
  const auto validate_route =
      is_accepted ? &RouteColumn::validate_accepted : &RouteColumn::validate;
  const auto validate_account = is_accepted ? &AccountColumn::validate_accepted
                                            : &AccountColumn::validate;
  for (const auto& [service, row] : rows) {
    if (std::optional<Failure> error =
            ValidateRow(service, row, validate_row)) {
      *reason = *std::move(error);
      return nullptr;
    }
  }
  if (std::optional<Failure> error =
          CheckRoutes(routes, rows, validate_route)) {
    *reason = *std::move(error);
    return nullptr;
  }
  if (std::optional<Failure> error =
          CheckAccounts(accounts, validate_account)) {
    *reason = *std::move(error);
    return nullptr;
  }
  std::string encoding = CanonicalEncoding(rows);
  AppendCanonicalEncoding(routes, &encoding);
  AppendCanonicalEncoding(accounts, &encoding);
  if (encoding.size() > kMaxEncodedBytes) {
    *reason = Failure{FailureCode::kInvalidTable, "table",
                      fmt::format("{} bytes exceed the limit of {}",
                                  encoding.size(), kMaxEncodedBytes)};
    return nullptr;
  }
  return std::shared_ptr<const Table>(
      new Table(version, std::move(rows), std::move(routes),
                std::move(accounts), Hash64(encoding)));
}

Table::Table(TableVersion version,
             Rows rows,
             Routes routes,
             Accounts accounts,
             uint64_t digest)
    : version_(version),
      rows_(std::move(rows)),
      routes_(std::move(routes)),
      accounts_(std::move(accounts)),
      digest_(digest) {}

const ServiceRow* Table::Find(const std::string& service) const {
  const auto found = rows_.find(service);
  return found == rows_.end() ? nullptr : &found->second;
}

}  // namespace dragonflytack
