#include "distribution/delta_history.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>

#include "dragonflytack/table/table.h"

namespace dragonflytack {

void DeltaHistory::Append(std::shared_ptr<const Table> table) {
  if (newest_ != nullptr) {
    steps_.push_back(TableDelta::Between(*newest_, *table));
    if (steps_.size() > kMaxVersions) {
      steps_.pop_front();
    }
  }
  newest_ = std::move(table);
}

std::optional<TableDelta> DeltaHistory::DeltaFrom(TableVersion version) const {
  const auto first = std::find_if(
      steps_.begin(), steps_.end(),
      [&](const TableDelta& step) { return step.from == version; });
  if (first == steps_.end()) {
    return std::nullopt;
  }
  TableDelta whole;
  whole.from = version;
  whole.to = newest_->version();
  whole.digest = newest_->digest();
  std::map<std::string, const ServiceRow*> changed;
  for (auto step = first; step != steps_.end(); ++step) {
    for (const ServiceRow& row : step->changed) {
      changed[row.service] = &row;
    }
    for (const std::string& service : step->removed) {
      changed.erase(service);
      whole.removed.insert(service);
    }
  }
  std::map<std::string, const RouteRow*> changed_routes;
  for (auto step = first; step != steps_.end(); ++step) {
    for (const RouteRow& route : step->changed_routes) {
      changed_routes[route.name] = &route;
    }
    for (const std::string& name : step->removed_routes) {
      changed_routes.erase(name);
      whole.removed_routes.insert(name);
    }
  }
  for (const auto& [name, route] : changed_routes) {
    whole.removed_routes.erase(name);
    whole.changed_routes.push_back(*route);
  }
  for (const auto& [service, row] : changed) {
    whole.removed.erase(service);
    whole.changed.push_back(*row);
  }
  return whole;
}

}  // namespace dragonflytack
