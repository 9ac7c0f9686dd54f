#include "daemon/fleet_report.h"

#include <map>
#include <utility>

#include "daemon/observed_store.h"
#include "daemon/process_usage.h"
#include "dragonflytack/base/clock.h"
#include "dragonflytack/distribution/distribution_core.h"
#include "dragonflytack/observe/metrics_registry.h"
#include "dragonflytack/observe/tracer.h"
#include "dragonflytack/routing/route_snapshot.h"
#include "dragonflytack/table/table.h"
#include "net/record_json.h"
#include "net/websocket_link_layer.h"
#include "table/table_json.h"

namespace dragonflytack {

namespace {

using nlohmann::json;

std::string_view LivenessName(Liveness liveness) {
  switch (liveness) {
    case Liveness::kAlive:
      return "alive";
    case Liveness::kSuspect:
      return "suspect";
    case Liveness::kDead:
      return "dead";
  }
  return "dead";
}

json EndpointToJson(const Endpoint& endpoint) {
  json object = RecordToJson(endpoint.record);
  object["liveness"] = LivenessName(endpoint.liveness);
  return object;
}

}  // namespace

FleetReport::FleetReport(const Parts& parts, AnnounceCallback on_announce)
    : parts_(parts), on_announce_(std::move(on_announce)) {}

void FleetReport::NoteRoutes(std::shared_ptr<const RouteSnapshot> routes) {
  routes_ = std::move(routes);
  if (versions_.empty() || versions_.back().version != routes_->version) {
    versions_.push_back({routes_->version, parts_.clock->WallMillis()});
    if (versions_.size() > kMaxVersions) {
      versions_.pop_front();
    }
  }
}

json FleetReport::Status() {
  json registry = {{"alive", 0}, {"suspect", 0}, {"dead", 0}};
  if (routes_ != nullptr && routes_->nodes != nullptr) {
    std::map<Liveness, int> counts;
    for (const auto& [id, location] : *routes_->nodes) {
      ++counts[location.liveness];
    }
    for (const auto& [liveness, count] : counts) {
      registry[std::string(LivenessName(liveness))] = count;
    }
  }
  json versions = json::array();
  for (const InForce& in_force : versions_) {
    versions.push_back(
        {{"version", in_force.version}, {"time_ms", in_force.time_ms}});
  }
  const NodeRecord& self = parts_.core->self();
  const Failure& failure = parts_.store->last_failure();
  return {{"node", self.id},
          {"record", RecordToJson(self)},
          {"version", routes_ == nullptr ? 0 : routes_->version},
          {"links", Links()},
          {"store",
           {{"contact", parts_.store->contact()},
            {"last_answer_ms", parts_.store->last_answer_ms()},
            {"last_failure", failure.code == FailureCode::kNone
                                 ? json()
                                 : json(failure.ToString())}}},
          {"registry", std::move(registry)},
          {"versions", std::move(versions)}};
}

json FleetReport::Links() const {
  json links = json::array();
  parts_.links->ForEachUp([&](const PeerLink& link) {
    links.push_back({{"peer", link.peer().id},
                     {"data_centre", link.peer().data_centre},
                     {"region", link.peer().region},
                     {"address", link.remote().ToString()},
                     {"outgoing", link.outgoing()},
                     {"class", parts_.links->LinkClass(link)},
                     {"queued_bytes", link.queued_bytes()},
                     {"sent_bytes", link.sent_bytes()},
                     {"received_bytes", link.received_bytes()}});
  });
  return links;
}

json FleetReport::Nodes() {
  json nodes = json::array();
  if (routes_ != nullptr) {
    for (const auto& [service, route] : routes_->services) {
      for (const Endpoint& endpoint : route->endpoints) {
        nodes.push_back(EndpointToJson(endpoint));
      }
    }
  }
  return {{"nodes", std::move(nodes)}};
}

std::optional<json> FleetReport::Routes(const std::string& service) {
  const ServiceRoute* const route =
      routes_ == nullptr ? nullptr : routes_->Find(service);
  if (route == nullptr) {
    return std::nullopt;
  }
  json endpoints = json::array();
  for (const Endpoint& endpoint : route->endpoints) {
    endpoints.push_back(EndpointToJson(endpoint));
  }
  return json{{"node", parts_.core->self().id},
              {"version", routes_->version},
              {"row", RowToJson(route->row)},
              {"endpoints", std::move(endpoints)}};
}

std::optional<json> FleetReport::Table() {
  const std::shared_ptr<const dragonflytack::Table> table =
      parts_.core->table();
  if (table == nullptr) {
    return std::nullopt;
  }
  json rows = json::array();
  for (const auto& [service, row] : table->rows()) {
    rows.push_back(RowToJson(row));
  }
  return json{{"version", table->version()}, {"rows", std::move(rows)}};
}

std::vector<Span> FleetReport::Trace(const std::string& trace_id) {
  return parts_.tracer->Find(trace_id);
}

std::string FleetReport::Metrics() {
  UpdateGauges();
  return parts_.metrics->RenderText();
}

Failure FleetReport::Announce(const LocalTarget& target) {
  return on_announce_(target);
}

void FleetReport::UpdateGauges() {
  MetricsRegistry* const metrics = parts_.metrics;
  const ProcessUsage usage = ProcessUsage::Read();
  metrics
      ->GetGauge("dragonflytack_resident_bytes",
                 "Resident memory of the process.")
      ->Set(usage.resident_bytes);
  metrics
      ->GetGauge("dragonflytack_processor_milliseconds",
                 "User and system time of the process since its start.")
      ->Set(usage.processor_millis);
  metrics
      ->GetGauge("dragonflytack_table_version",
                 "Version of the table that is in force.")
      ->Set(routes_ == nullptr ? 0 : static_cast<int64_t>(routes_->version));
  std::map<std::string, WebSocketLinkLayer::Traffic> traffic =
      parts_.links->ended_traffic();
  std::map<std::string, int> counts;
  parts_.links->ForEachUp([&](const PeerLink& link) {
    const std::string link_class = parts_.links->LinkClass(link);
    ++counts[link_class];
    traffic[link_class].sent += link.sent_bytes();
    traffic[link_class].received += link.received_bytes();
  });
  for (const char* link_class :
       {"same_data_centre", "same_region", "other_region"}) {
    metrics
        ->GetGauge("dragonflytack_links", "Links that are up.",
                   {{"class", link_class}})
        ->Set(counts[link_class]);
  }
  for (const auto& [code, count] : parts_.links->end_counts()) {
    metrics
        ->GetGauge("dragonflytack_link_ends",
                   "Links that ended since the start, by failure code.",
                   {{"reason", code}})
        ->Set(static_cast<int64_t>(count));
  }
  for (const auto& [link_class, bytes] : traffic) {
    metrics
        ->GetGauge("dragonflytack_link_sent_bytes",
                   "Bytes sent on links, WebSocket headers included.",
                   {{"class", link_class}})
        ->Set(static_cast<int64_t>(bytes.sent));
    metrics
        ->GetGauge("dragonflytack_link_received_bytes",
                   "Bytes received on links, WebSocket headers included.",
                   {{"class", link_class}})
        ->Set(static_cast<int64_t>(bytes.received));
  }
}

}  // namespace dragonflytack
