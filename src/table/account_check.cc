#include "table/account_check.h"

#include <iterator>
#include <map>
#include <utility>

#include <fmt/format.h>

namespace dragonflytack {

namespace {

Failure CellFailure(const std::string& account,
                    std::string_view column,
                    std::string detail) {
  return {FailureCode::kInvalidTable,
          CellName(Sheet::kAccounts, account, column), std::move(detail)};
}

}  // namespace

std::optional<Failure> CheckAccounts(
    const Table::Accounts& accounts,
    AccountColumn::Validate AccountColumn::*validate) {
  std::map<KeyDigest, std::string_view> holders;
  for (const auto& [name, account] : accounts) {
    if (name != account.account) {
      return CellFailure(
          name, "account",
          fmt::format("the row contains the name \"{}\"", account.account));
    }
    for (const AccountColumn& column : Columns<AccountRow>()) {
      if (std::optional<std::string> error =
              (column.*validate)(column, account)) {
        return CellFailure(name, column.name, *std::move(error));
      }
    }
    for (const KeyDigest& key : account.keys) {
      const auto [holder, is_new] = holders.emplace(key, name);
      if (!is_new) {
        return CellFailure(
            name, "keys",
            holder->second == name
                ? fmt::format("the key {} is listed twice", key.ToText())
                : fmt::format("the key {} is also one of the account \"{}\"",
                              key.ToText(), holder->second));
      }
    }
  }
  return std::nullopt;
}

void AppendCanonicalEncoding(const Table::Accounts& accounts,
                             std::string* encoding) {
  for (const auto& [name, account] : accounts) {
    fmt::format_to(std::back_inserter(*encoding), "\x02{}:{} {} {} {}",
                   name.size(), name, account.rank, account.rate_limit,
                   account.burst);
    for (const KeyDigest& key : account.keys) {
      fmt::format_to(std::back_inserter(*encoding), " {}", key.ToText());
    }
    encoding->push_back('\n');
  }
}

}  // namespace dragonflytack
