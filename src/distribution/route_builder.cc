#include "distribution/route_builder.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "dragonflytack/routing/route_snapshot.h"
#include "dragonflytack/table/table.h"
#include "registry/registry.h"

namespace dragonflytack {

namespace {

void FillNodes(const Registry& registry, RouteSnapshot* snapshot) {
  auto nodes = std::make_shared<std::unordered_map<NodeId, NodeLocation>>();
  nodes->reserve(registry.entries().size());
  for (const auto& [id, entry] : registry.entries()) {
    if (entry->state != TargetState::kLeft) {
      nodes->emplace(
          entry->id,
          NodeLocation{entry->id, entry->incarnation, entry->address,
                       entry->mesh_port, entry->liveness, *entry->data_centre});
    }
  }
  auto successors =
      std::make_shared<std::map<std::pair<NodeId, uint64_t>, NodeId>>();
  for (const auto& [owner, succession] : registry.successions()) {
    successors->emplace(owner, succession.successor);
  }
  snapshot->nodes = std::move(nodes);
  snapshot->successors = std::move(successors);
}

}  // namespace

std::shared_ptr<const RouteSnapshot> RouteBuilder::Build(
    const std::shared_ptr<const Table>& table,
    TableVersion newest_version) {
  const std::set<std::string> changed = registry_->TakeChangedServices();
  const bool locations_changed =
      registry_->TakeLocationsChanged() || previous_ == nullptr;
  auto snapshot = std::make_shared<RouteSnapshot>();
  snapshot->version = table->version();
  snapshot->newest_version = std::max(newest_version, table->version());
  bool differs = locations_changed || table != table_ ||
                 snapshot->newest_version != previous_->newest_version;
  if (table == table_) {
    snapshot->route_index = previous_->route_index;
    snapshot->accounts = previous_->accounts;
  } else {
    if (!table->routes().empty()) {
      snapshot->route_index = std::make_shared<const RouteIndex>(table);
    }
    if (!table->accounts().empty()) {
      snapshot->accounts = std::make_shared<const AccountIndex>(table);
    }
  }

  std::map<std::string_view, ServiceRoute*> rebuilt;
  for (const auto& [service, row] : table->rows()) {
    const ServiceRoute* old_route =
        previous_ == nullptr ? nullptr : previous_->Find(service);
    const bool same_endpoints =
        old_route != nullptr && !changed.contains(service);
    if (same_endpoints && old_route->row == row) {
      snapshot->services[service] = previous_->services.at(service);
      continue;
    }
    auto route = std::make_shared<ServiceRoute>();
    route->row = row;
    if (same_endpoints) {
      *route = *old_route;
      route->row = row;
    } else {
      rebuilt.emplace(row.service, route.get());
    }
    snapshot->services[service] = std::move(route);
    differs = true;
  }
  if (!rebuilt.empty()) {
    // One pass over all records, in the order of ids, uses less memory than an
    // index by service. Strings are interned, so equal service names have the
    // same address.
    std::unordered_map<const std::string*, ServiceRoute*> route_by_service;
    for (const auto& [id, entry] : registry_->entries()) {
      const auto [it, is_new] =
          route_by_service.try_emplace(entry->service, nullptr);
      if (is_new) {
        const auto found = rebuilt.find(*entry->service);
        it->second = found == rebuilt.end() ? nullptr : found->second;
      }
      if (it->second != nullptr) {
        it->second->endpoints.push_back(
            Endpoint{entry->ToRecord(), entry->liveness});
      }
    }
  }
  for (const auto& [service, route] : rebuilt) {
    SetReleases(std::string(service), route);
  }
  if (locations_changed) {
    FillNodes(*registry_, snapshot.get());
  } else {
    snapshot->nodes = previous_->nodes;
    snapshot->successors = previous_->successors;
  }
  if (!differs) {
    return previous_;
  }
  table_ = table;
  previous_ = std::move(snapshot);
  return previous_;
}

void RouteBuilder::SetReleases(const std::string& service,
                               ServiceRoute* route) {
  if (const RolloutShare* share = registry_->rollout_shares().Find(service)) {
    route->rollout = *share;
  }
  if (!holds_new_releases_) {
    return;
  }
  const TimePoint now = registry_->clock().Now();
  std::map<std::string, TimePoint>& known = first_seen_[service];
  std::map<std::string, TimePoint> present;
  for (const Endpoint& endpoint : route->endpoints) {
    const TargetState state = endpoint.record.state;
    if (endpoint.liveness == Liveness::kDead ||
        (state != TargetState::kWarming && state != TargetState::kReady) ||
        endpoint.record.release.empty()) {
      continue;
    }
    const auto found = known.find(endpoint.record.release);
    // The first releases of a service have no others that could get the calls.
    present.emplace(endpoint.record.release, found != known.end()
                                                 ? found->second
                                             : known.empty() ? TimePoint::min()
                                                             : now);
  }
  known = std::move(present);
  const bool has_others =
      std::any_of(known.begin(), known.end(), [&](const auto& item) {
        return item.second == TimePoint::min() ||
               now - item.second >= kHoldTime;
      });
  if (!has_others) {
    return;
  }
  for (const auto& [release, since] : known) {
    if (since != TimePoint::min() && now - since < kHoldTime &&
        release != route->rollout.release) {
      route->held_releases.emplace(release, since + kHoldTime);
    }
  }
}

}  // namespace dragonflytack
