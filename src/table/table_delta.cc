#include "dragonflytack/table/table_delta.h"

#include <utility>

#include <fmt/format.h>

#include "dragonflytack/table/table.h"

namespace dragonflytack {

namespace {

// Determines the rows of `to` that are new or changed, and the names of the
// rows of `from` that `to` does not have.
template <typename Row>
void Compare(const std::map<std::string, Row>& from,
             const std::map<std::string, Row>& to,
             std::vector<Row>* changed,
             std::set<std::string>* removed) {
  for (const auto& [name, row] : to) {
    const auto old_row = from.find(name);
    if (old_row == from.end() || old_row->second != row) {
      changed->push_back(row);
    }
  }
  for (const auto& [name, row] : from) {
    if (!to.contains(name)) {
      removed->insert(name);
    }
  }
}

template <typename Row>
std::map<std::string, Row> Apply(const std::vector<Row>& changed,
                                 const std::set<std::string>& removed,
                                 std::string Row::*name,
                                 std::map<std::string, Row> rows) {
  for (const std::string& key : removed) {
    rows.erase(key);
  }
  for (const Row& row : changed) {
    rows[row.*name] = row;
  }
  return rows;
}

}  // namespace

TableDelta TableDelta::Between(const Table& from, const Table& to) {
  TableDelta delta;
  delta.from = from.version();
  delta.to = to.version();
  delta.digest = to.digest();
  Compare(from.rows(), to.rows(), &delta.changed, &delta.removed);
  Compare(from.routes(), to.routes(), &delta.changed_routes,
          &delta.removed_routes);
  Compare(from.accounts(), to.accounts(), &delta.changed_accounts,
          &delta.removed_accounts);
  return delta;
}

std::shared_ptr<const Table> TableDelta::ApplyTo(const Table& base,
                                                 Failure* reason) const {
  const std::string subject = fmt::format("delta {}-{}", from, to);
  if (base.version() != from) {
    *reason = Failure{FailureCode::kInvalidMessage, subject,
                      fmt::format("the base is version {}", base.version())};
    return nullptr;
  }
  if (to <= from) {
    *reason = Failure{FailureCode::kVersionRegressed, subject,
                      "the new version is not higher than the base version"};
    return nullptr;
  }
  std::shared_ptr<const Table> table = Table::MakeAccepted(
      to, Apply(changed, removed, &ServiceRow::service, base.rows()),
      Apply(changed_routes, removed_routes, &RouteRow::name, base.routes()),
      Apply(changed_accounts, removed_accounts, &AccountRow::account,
            base.accounts()),
      reason);
  if (table != nullptr && table->digest() != digest) {
    *reason = Failure{FailureCode::kInvalidMessage, subject,
                      fmt::format("the digest of the result is {:016x}, "
                                  "not {:016x}",
                                  table->digest(), digest)};
    return nullptr;
  }
  return table;
}

}  // namespace dragonflytack
