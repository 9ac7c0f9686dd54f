#include "distribution/delta_history.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "dragonflytack/table/table.h"

namespace dragonflytack {

namespace {

// Combines the changes of one sheet in consecutive deltas.
template <typename Iterator, typename Row>
void Combine(Iterator first,
             Iterator last,
             std::vector<Row> TableDelta::*changed,
             std::set<std::string> TableDelta::*removed,
             std::string Row::*name,
             TableDelta* combined) {
  std::map<std::string, const Row*> rows;
  for (Iterator delta = first; delta != last; ++delta) {
    for (const Row& row : (*delta).*changed) {
      rows[row.*name] = &row;
    }
    for (const std::string& gone : (*delta).*removed) {
      rows.erase(gone);
      (combined->*removed).insert(gone);
    }
  }
  for (const auto& [row_name, row] : rows) {
    (combined->*removed).erase(row_name);
    (combined->*changed).push_back(*row);
  }
}

}  // namespace

void DeltaHistory::Append(std::shared_ptr<const Table> table) {
  if (newest_ != nullptr) {
    deltas_.push_back(TableDelta::Between(*newest_, *table));
    if (deltas_.size() > kMaxVersions) {
      deltas_.pop_front();
    }
  }
  newest_ = std::move(table);
}

std::optional<TableDelta> DeltaHistory::DeltaFrom(TableVersion version) const {
  const auto first = std::find_if(
      deltas_.begin(), deltas_.end(),
      [&](const TableDelta& delta) { return delta.from == version; });
  if (first == deltas_.end()) {
    return std::nullopt;
  }
  TableDelta combined;
  combined.from = version;
  combined.to = newest_->version();
  combined.digest = newest_->digest();
  Combine(first, deltas_.end(), &TableDelta::changed, &TableDelta::removed,
          &ServiceRow::service, &combined);
  Combine(first, deltas_.end(), &TableDelta::changed_routes,
          &TableDelta::removed_routes, &RouteRow::name, &combined);
  Combine(first, deltas_.end(), &TableDelta::changed_accounts,
          &TableDelta::removed_accounts, &AccountRow::account, &combined);
  return combined;
}

}  // namespace dragonflytack
