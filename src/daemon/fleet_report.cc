#include "daemon/fleet_report.h"

#include <algorithm>
#include <array>
#include <map>
#include <utility>

#include "daemon/observed_store.h"
#include "daemon/process_usage.h"
#include "dragonflytack/distribution/distribution_core.h"
#include "dragonflytack/observe/metrics_registry.h"
#include "dragonflytack/observe/tracer.h"
#include "dragonflytack/routing/route_snapshot.h"
#include "dragonflytack/table/table.h"
#include "net/record_json.h"
#include "net/websocket_link_layer.h"
#include "rollout/evidence_json.h"
#include "rollout/rollout_controller.h"
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

constexpr std::array<const char*, TrafficCounters::kLinkClasses> kClassNames = {
    "same_data_centre", "same_region", "other_region"};

void SetTraffic(MetricsRegistry* metrics,
                const char* direction,
                size_t kind,
                size_t link_class,
                const TrafficCounters::Count& count) {
  if (count.frames == 0) {
    return;  // Most pairs of kind and class never occur on a node.
  }
  const MetricsRegistry::Labels labels = {
      {"direction", direction},
      {"kind", std::string(TrafficCounters::kKindNames[kind])},
      {"class", kClassNames[link_class]}};
  metrics
      ->GetGauge("dragonflytack_control_bytes",
                 "Bytes of frames between nodes since the start.", labels)
      ->Set(static_cast<int64_t>(count.bytes));
  metrics
      ->GetGauge("dragonflytack_control_frames",
                 "Frames between nodes since the start.", labels)
      ->Set(static_cast<int64_t>(count.frames));
}

// The subject of a refusal is "row/column" or only the row.
json RefusalToJson(const DistributionStatus& status) {
  if (status.refused == 0) {
    return nullptr;
  }
  const std::string& subject = status.refusal.subject;
  // Names of accounts and routes may contain slashes, those of columns do not.
  const size_t slash = subject.rfind('/');
  return {
      {"version", status.refused},
      {"row", subject.substr(0, slash)},
      {"column", slash == std::string::npos ? "" : subject.substr(slash + 1)},
      {"code", FailureCodeName(status.refusal.code)},
      {"reason", status.refusal.detail}};
}

}  // namespace

FleetReport::FleetReport(const Dependencies& dependencies,
                         AnnouncementCallback on_announcement)
    : dependencies_(dependencies),
      on_announcement_(std::move(on_announcement)),
      ejected_(dependencies.clock),
      evidence_revision_(
          static_cast<uint64_t>(dependencies.clock->WallMillis())) {}

void FleetReport::SetRoutes(std::shared_ptr<const RouteSnapshot> routes) {
  const bool is_newer =
      routes != nullptr &&
      (routes_ == nullptr || routes->version > routes_->version);
  routes_ = std::move(routes);
  const DistributionStatus status =
      is_newer ? dependencies_.core->Status() : DistributionStatus{};
  if (status.edit_time_ms > 0) {
    // The clock of the editor's host may be ahead of the local one.
    dependencies_.metrics
        ->GetHistogram("dragonflytack_convergence_seconds",
                       "Time from an edit to its version in force here, on "
                       "nodes that read it from the store.")
        ->Record(std::max(Milliseconds::zero(),
                          Milliseconds(dependencies_.clock->WallMillis() -
                                       status.edit_time_ms)));
  }
}

json FleetReport::Status() {
  const DistributionStatus status = dependencies_.core->Status();
  json versions = json::array();
  for (const auto& [version, time_ms] : status.in_force_since) {
    versions.push_back({{"version", version}, {"time_ms", time_ms}});
  }
  const NodeRecord& self = dependencies_.core->self();
  const Failure& failure = dependencies_.store->last_failure();
  json report = {{"node", self.id},
                 {"record", RecordToJson(self)},
                 {"in_force", status.in_force},
                 {"version", status.version},
                 {"table_digest", status.table_digest},
                 {"held", status.held},
                 {"newest_known", status.newest_known},
                 {"refused", RefusalToJson(status)},
                 {"links", Links(status)},
                 {"speaker", status.designated_watcher},
                 {"substitute", status.standby_watcher},
                 {"store",
                  {{"contact", dependencies_.store->contact()},
                   {"calls", status.store_calls},
                   {"last_answer_ms", dependencies_.store->last_response_ms()},
                   {"last_failure", failure.code == FailureCode::kNone
                                        ? json()
                                        : json(failure.ToString())}}},
                 {"registry",
                  {{"nodes", status.nodes},
                   {"alive", status.alive_nodes},
                   {"suspect", status.suspect_nodes},
                   {"dead", status.dead_nodes}}},
                 {"snapshots_served", status.snapshots_served},
                 {"versions", std::move(versions)}};
  if (routes_ != nullptr && routes_->accounts != nullptr) {
    report["accounts"] = routes_->accounts->account_count();
    report["account_keys"] = routes_->accounts->key_count();
  }
  return report;
}

json FleetReport::Links(const DistributionStatus& status) const {
  std::map<LinkId, const DistributionStatus::Link*> known;
  for (const DistributionStatus::Link& link : status.links) {
    known[link.link] = &link;
  }
  json links = json::array();
  dependencies_.links->ForEachUp([&](const WebSocketLink& link) {
    json object = {{"peer", link.peer().id},
                   {"data_centre", link.peer().data_centre},
                   {"region", link.peer().region},
                   {"address", link.remote().ToString()},
                   {"outgoing", link.outgoing()},
                   {"class", dependencies_.links->ClassName(link)},
                   {"queued_bytes", link.queued_bytes()},
                   {"sent_bytes", link.sent_bytes()},
                   {"received_bytes", link.received_bytes()}};
    if (const auto found = known.find(link.id()); found != known.end()) {
      object["silent_ms"] = found->second->time_since_last_frame.count();
      object["version"] = found->second->version;
    }
    links.push_back(std::move(object));
  });
  return links;
}

json FleetReport::Nodes() {
  json nodes = json::array();
  for (const Endpoint& node : dependencies_.core->KnownNodes()) {
    nodes.push_back(EndpointToJson(node));
  }
  return {{"node", dependencies_.core->self().id}, {"nodes", std::move(nodes)}};
}

std::optional<json> FleetReport::Routes(const std::string& service) {
  const ServiceRoute* const route =
      routes_ == nullptr ? nullptr : routes_->Find(service);
  if (route == nullptr) {
    return std::nullopt;
  }
  json endpoints = json::array();
  for (const Endpoint& endpoint : route->endpoints) {
    json object = EndpointToJson(endpoint);
    object["left_out"] = ejected_.EjectionReason(service, endpoint.record.id);
    endpoints.push_back(std::move(object));
  }
  return json{{"node", dependencies_.core->self().id},
              {"version", routes_->version},
              {"row", RowToJson(route->row)},
              {"endpoints", std::move(endpoints)}};
}

std::optional<json> FleetReport::Table() {
  const std::shared_ptr<const dragonflytack::Table> table =
      dependencies_.core->table();
  if (table == nullptr) {
    return std::nullopt;
  }
  json value = {{"version", table->version()},
                {"rows", RowsToJson(table->rows())},
                {"routes", RowsToJson(table->routes())}};
  if (!table->accounts().empty()) {
    value["accounts"] = RowsToJson(table->accounts());
  }
  return value;
}

std::optional<json> FleetReport::Evidence(const std::string& since) {
  if (since == std::to_string(evidence_revision_)) {
    return std::nullopt;
  }
  json evidence = EvidenceToJson(evidence_);
  evidence[kEvidenceRevision] = evidence_revision_;
  return evidence;
}

json FleetReport::Rollouts() {
  return rollout_controller_ == nullptr ? json::object()
                                        : rollout_controller_->Status();
}

std::vector<Span> FleetReport::Trace(const std::string& trace_id) {
  return dependencies_.tracer->Find(trace_id);
}

std::string FleetReport::Metrics() {
  UpdateGauges();
  UpdateCoreGauges();
  UpdateLinkGauges();
  return dependencies_.metrics->RenderText();
}

void FleetReport::HandleAnnouncement(const LocalTarget& target,
                                     AnnouncementReply reply) {
  on_announcement_(target, std::move(reply));
}

void FleetReport::UpdateGauges() {
  MetricsRegistry* const metrics = dependencies_.metrics;
  const ProcessUsage usage = ProcessUsage::Read();
  metrics
      ->GetGauge("dragonflytack_resident_bytes",
                 "Resident memory of the process.")
      ->Set(usage.resident_bytes);
  metrics
      ->GetGauge("dragonflytack_processor_milliseconds",
                 "User and system time of the process since its start.")
      ->Set(usage.processor_millis);
}

void FleetReport::UpdateCoreGauges() {
  MetricsRegistry* const metrics = dependencies_.metrics;
  const DistributionStatus status = dependencies_.core->Status();
  metrics
      ->GetGauge("dragonflytack_table_version",
                 "Version of the table that is in force.")
      ->Set(static_cast<int64_t>(status.version));
  int64_t dead = 0;
  for (const Endpoint& node : dependencies_.core->KnownNodes()) {
    dead += node.liveness == Liveness::kDead ? 1 : 0;
  }
  Counter* const refused =
      metrics->GetCounter("dragonflytack_refused_tables_total",
                          "Versions of the table that were refused.");
  refused->Add(status.refusals - refused->value());
  const struct {
    const char* name;
    const char* help;
    int64_t value;
  } gauges[] = {
      {"dragonflytack_refused_table_version",
       "Last version that was refused, 0 for none.",
       static_cast<int64_t>(status.refused)},
      {"dragonflytack_ambiguous_table_version",
       "Last version that was seen with two contents, 0 for none.",
       static_cast<int64_t>(status.ambiguous_version)},
      {"dragonflytack_known_nodes", "Nodes in the registry.",
       static_cast<int64_t>(status.nodes)},
      {"dragonflytack_suspected_nodes", "Nodes that are suspected.",
       static_cast<int64_t>(status.active_suspicions)},
      {"dragonflytack_speaker", "1 when this node watches the store.",
       status.designated_watcher ? 1 : 0},
      {"dragonflytack_dead_nodes", "Nodes that are dead.", dead},
      {"dragonflytack_held_table_version",
       "Version that waits for peers to acknowledge it, 0 for none.",
       static_cast<int64_t>(status.held)},
      {"dragonflytack_newest_known_table_version",
       "Highest version that the store or a peer has reported.",
       static_cast<int64_t>(status.newest_known)},
      {"dragonflytack_store_contact",
       "1 when the last call to the store got a response.",
       dependencies_.store->contact() == "in_contact" ? 1 : 0},
      {"dragonflytack_ejected_endpoints",
       "Endpoints that this node leaves out after failures.",
       static_cast<int64_t>(ejected_.Count())},
      {"dragonflytack_snapshots_served", "Snapshots that are being served.",
       static_cast<int64_t>(status.snapshots_served)},
  };
  for (const auto& gauge : gauges) {
    metrics->GetGauge(gauge.name, gauge.help)->Set(gauge.value);
  }
  const TrafficCounters& traffic = dependencies_.core->traffic();
  for (size_t kind = 0; kind < TrafficCounters::kKindNames.size(); ++kind) {
    for (size_t i = 0; i < TrafficCounters::kLinkClasses; ++i) {
      SetTraffic(metrics, "sent", kind, i, traffic.sent[kind][i]);
      SetTraffic(metrics, "received", kind, i, traffic.received[kind][i]);
    }
  }
}

void FleetReport::UpdateLinkGauges() {
  MetricsRegistry* const metrics = dependencies_.metrics;
  std::map<std::string, WebSocketLinkLayer::Traffic> traffic =
      dependencies_.links->ended_traffic();
  std::map<std::string, int> counts;
  dependencies_.links->ForEachUp([&](const WebSocketLink& link) {
    const std::string link_class = dependencies_.links->ClassName(link);
    ++counts[link_class];
    traffic[link_class].sent += link.sent_bytes();
    traffic[link_class].received += link.received_bytes();
  });
  for (const char* const link_class : kClassNames) {
    metrics
        ->GetGauge("dragonflytack_links", "Links that are up.",
                   {{"class", link_class}})
        ->Set(counts[link_class]);
  }
  for (const auto& [code, count] : dependencies_.links->end_counts()) {
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
