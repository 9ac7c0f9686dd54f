#include "distribution/delta_history.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>

#include "dragonflytack/table/table.h"

namespace dragonflytack {

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
  std::map<std::string, const ServiceRow*> changed;
  for (auto delta = first; delta != deltas_.end(); ++delta) {
    for (const ServiceRow& row : delta->changed) {
      changed[row.service] = &row;
    }
    for (const std::string& service : delta->removed) {
      changed.erase(service);
      combined.removed.insert(service);
    }
  }
  std::map<std::string, const RouteRow*> changed_routes;
  for (auto delta = first; delta != deltas_.end(); ++delta) {
    for (const RouteRow& route : delta->changed_routes) {
      changed_routes[route.name] = &route;
    }
    for (const std::string& name : delta->removed_routes) {
      changed_routes.erase(name);
      combined.removed_routes.insert(name);
    }
  }
  for (const auto& [name, route] : changed_routes) {
    combined.removed_routes.erase(name);
    combined.changed_routes.push_back(*route);
  }
  for (const auto& [service, row] : changed) {
    combined.removed.erase(service);
    combined.changed.push_back(*row);
  }
  return combined;
}

}  // namespace dragonflytack
