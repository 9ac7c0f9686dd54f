#include "rollout/rollout_controller.h"

#include <algorithm>
#include <functional>
#include <optional>
#include <utility>

#include <fmt/format.h>

#include "dragonflytack/base/admin_authorization.h"
#include "dragonflytack/base/event_loop.h"
#include "dragonflytack/base/hash.h"
#include "dragonflytack/base/logger.h"
#include "dragonflytack/distribution/distribution_core.h"
#include "registry/rollout_shares.h"
#include "rollout/evidence_json.h"

namespace dragonflytack {

namespace {

using nlohmann::json;

constexpr Milliseconds kWatchTime{30'000};
constexpr Milliseconds kWatchRetryDelay{500};
constexpr Milliseconds kRoleCheckPeriod{500};
constexpr Milliseconds kAdminTimeout{1'000};
constexpr size_t kMaxResponseBytes = 256'000;
constexpr int kStatusOk = 200;
constexpr char kEvidencePath[] = "/evidence";
constexpr char kRolloutsPath[] = "/rollouts";

}  // namespace

RolloutController::RolloutController(const Settings& settings,
                                     EventLoop* loop,
                                     StoreClient* store,
                                     DistributionCore* core,
                                     std::unique_ptr<RolloutOrders> orders,
                                     MetricsRegistry* metrics,
                                     Logger* logger)
    : settings_(settings),
      authorization_(settings.shared_key.empty()
                         ? ""
                         : AdminAuthorization(settings.shared_key)),
      loop_(loop),
      core_(core),
      logger_(logger),
      metrics_(metrics),
      started_(loop->clock().Now()),
      orders_(std::move(orders)) {
  session_dependencies_ = {
      &loop->clock(),
      store,
      orders_.get(),
      logger,
      [core](const RolloutShare& share) { core->PublishShare(share); },
      [core](const std::string& service) {
        const RolloutShare* share = core->rollout_shares().Find(service);
        return share == nullptr ? RolloutShare{} : *share;
      },
      &metrics_};
  timer_ = loop_->timers().SubscribeEvery(kTickPeriod, [this] { Tick(); });
}

RolloutController::~RolloutController() {
  loop_->timers().Cancel(timer_);
}

void RolloutController::OnRoutes(std::shared_ptr<const RouteSnapshot> routes) {
  routes_ = std::move(routes);
}

void RolloutController::UpdateRanks() {
  if (routes_->nodes == ranked_nodes_) {
    return;
  }
  ranked_nodes_ = routes_->nodes;
  static const uint64_t seed = Hash64("rollout");
  std::vector<std::pair<uint64_t, NodeId>> ranks;
  for (const auto& [id, node] : *ranked_nodes_) {
    if (node.liveness != Liveness::kDead) {
      ranks.emplace_back(Hash64(id, seed), id);
    }
  }
  const size_t count = std::min(kControllers, ranks.size());
  std::partial_sort(ranks.begin(),
                    ranks.begin() + static_cast<std::ptrdiff_t>(count),
                    ranks.end(), std::greater<>());
  ranked_.clear();
  for (size_t i = 0; i < count; ++i) {
    ranked_.push_back(ranks[i].second);
  }
}

void RolloutController::Tick() {
  const TimePoint now = loop_->clock().Now();
  if (routes_ == nullptr || routes_->nodes == nullptr ||
      now - started_ < kStartDelay) {
    return;
  }
  if (now - role_checked_ >= kRoleCheckPeriod) {
    role_checked_ = now;
    UpdateRanks();
    const bool is_controller = std::find(ranked_.begin(), ranked_.end(),
                                         settings_.node_id) != ranked_.end();
    if (is_controller != std::exchange(is_controller_, is_controller)) {
      logger_->Info("rollout_controller", {{"active", is_controller}});
    }
    core_->SetRolloutRole(is_controller_);
    metrics_.SetController(is_controller_);
    metrics_.SetShares(core_->rollout_shares().All());
  }
  if (!is_controller_) {
    sessions_.clear();
    collected_.clear();
    connections_.clear();
    return;
  }
  if (!watching_ && now >= watch_at_) {
    Watch();
  }
  bool any_running = false;
  for (const auto& [service, session] : sessions_) {
    if (!session->is_done()) {
      any_running = true;
      TickSession(session.get(), now);
    }
  }
  if (!any_running) {
    connections_.clear();
  } else if (now - other_polled_ >= kEvidencePeriod) {
    other_polled_ = now;
    PollOtherController();
  }
}

void RolloutController::TickSession(RolloutSession* session, TimePoint now) {
  const Milliseconds period = !session->is_deciding() ? kStandbyEvidencePeriod
                              : session->is_at_full_share()
                                  ? kFinalEvidencePeriod
                                  : kEvidencePeriod;
  TimePoint& collected = collected_[session->order().service];
  const bool is_last = session->NeedsLastEvidence();
  if (is_last || now - collected >= period) {
    // Keeps the mean interval although ticks are no divisor of it.
    collected = std::max<TimePoint>(collected + period, now - kTickPeriod);
    CollectEvidence(*session, is_last);
    if (is_last) {
      session->OnLastEvidenceRequested();
    }
  }
  Decide(session);
}

void RolloutController::Decide(RolloutSession* session) {
  session->Tick(ranked_.front() == settings_.node_id,
                HasNewTarget(session->order()));
}

void RolloutController::Watch() {
  watching_ = true;
  orders_->Next(kWatchTime, [this, sent_at = loop_->clock().Now()](
                                const std::optional<std::vector<RolloutOrder>>&
                                    orders,
                                const Failure& reason) {
    watching_ = false;
    if (!is_controller_) {
      return;
    }
    if (!orders) {
      logger_->Info("rollout_watch_failed", {{"reason", reason.ToString()}});
      watch_at_ = loop_->clock().Now() + kWatchRetryDelay;
      return;
    }
    for (const RolloutOrder& order : *orders) {
      OnOrder(order);
    }
    const TimePoint now = loop_->clock().Now();
    if (orders->empty() && now - sent_at < kWatchRetryDelay) {
      // The store does not wait, or this was the first list.
      watch_at_ = now + kWatchRetryDelay;
      return;
    }
    Watch();
  });
}

void RolloutController::OnOrder(const RolloutOrder& order) {
  std::unique_ptr<RolloutSession>& session = sessions_[order.service];
  if (session != nullptr && session->order().release == order.release &&
      (!session->is_done() || order.progress != RolloutProgress::kNone)) {
    if (order.version > session->order().version) {
      session->UpdateOrder(order);
    }
    return;
  }
  const RolloutShare* share = core_->rollout_shares().Find(order.service);
  const bool is_in_force = share != nullptr && share->release == order.release;
  if (order.progress == RolloutProgress::kRolledBack && !is_in_force) {
    // All nodes may have restarted since; the rollback still holds.
    core_->PublishShare({order.service, order.release, 0, 1});
  }
  const bool has_ended =
      order.progress == RolloutProgress::kRolledBack ||
      (order.progress == RolloutProgress::kCompleted && !is_in_force);
  if (has_ended) {
    sessions_.erase(order.service);
    return;
  }
  session =
      std::make_unique<RolloutSession>(settings_, session_dependencies_, order);
}

bool RolloutController::HasNewTarget(const RolloutOrder& order) const {
  const ServiceRoute* const route = routes_->Find(order.service);
  return route != nullptr &&
         std::any_of(route->endpoints.begin(), route->endpoints.end(),
                     [&order](const Endpoint& endpoint) {
                       const NodeRecord& record = endpoint.record;
                       return record.release == order.release &&
                              endpoint.liveness != Liveness::kDead &&
                              (record.state == TargetState::kWarming ||
                               record.state == TargetState::kReady);
                     });
}

HttpRequest RolloutController::MakeRequest(std::string target) const {
  HttpRequest request{.target = std::move(target)};
  if (!authorization_.empty()) {
    request.headers["authorization"] = authorization_;
  }
  return request;
}

HttpConnection* RolloutController::ConnectionTo(const NodeId& node,
                                                const HostPort& admin) {
  std::unique_ptr<HttpConnection>& connection = connections_[node];
  if (connection == nullptr) {
    connection =
        std::make_unique<HttpConnection>(loop_, admin, kMaxResponseBytes);
  }
  return connection->busy() ? nullptr : connection.get();
}

void RolloutController::CollectEvidence(const RolloutSession& session,
                                        bool is_last) {
  const ServiceRoute* const route = routes_->Find(session.order().service);
  if (route == nullptr) {
    return;
  }
  const auto pending = std::make_shared<int>(0);
  for (const Endpoint& endpoint : route->endpoints) {
    if (endpoint.liveness != Liveness::kDead &&
        endpoint.record.state != TargetState::kLeft) {
      CollectFrom(session, endpoint, is_last, pending);
    }
  }
}

void RolloutController::CollectFrom(const RolloutSession& session,
                                    const Endpoint& endpoint,
                                    bool is_last,
                                    const std::shared_ptr<int>& pending) {
  const NodeRecord& record = endpoint.record;
  HttpConnection* const connection =
      ConnectionTo(record.id, {record.address, record.admin_port});
  if (connection == nullptr) {
    metrics_.OnEvidence(RolloutMetrics::Evidence::kNotSent);
    return;
  }
  const uint64_t revision = session.EvidenceRevision(record.id);
  ++*pending;
  connection->Send(
      MakeRequest(revision == 0 ? kEvidencePath
                                : fmt::format("{}?{}={}", kEvidencePath,
                                              kEvidenceSince, revision)),
      kAdminTimeout,
      [this, service = session.order().service, node = record.id, is_last,
       pending](const HttpResponse& response) {
        --*pending;
        const auto found = sessions_.find(service);
        if (found == sessions_.end()) {
          return;
        }
        OnEvidence(found->second.get(), node, response);
        if (is_last && *pending == 0) {
          found->second->OnLastEvidence();
          Decide(found->second.get());
        }
      });
}

void RolloutController::OnEvidence(RolloutSession* session,
                                   const NodeId& node,
                                   const HttpResponse& response) {
  if (response.outcome == HttpOutcome::kCompleted &&
      response.status == kStatusOk && response.body.empty()) {
    metrics_.OnEvidence(RolloutMetrics::Evidence::kUnchanged);
    session->OnUnchangedEvidence();
    return;
  }
  const json body = json::parse(response.body, nullptr, false);
  const std::optional<ReleaseEvidence> evidence = EvidenceFromJson(body);
  if (!evidence) {
    metrics_.OnEvidence(RolloutMetrics::Evidence::kNoResponse);
    return;
  }
  metrics_.OnEvidence(RolloutMetrics::Evidence::kChanged);
  // Nodes of earlier programs send no revision.
  const auto revision = body.find(kEvidenceRevision);
  session->AddEvidence(node, *evidence,
                       revision != body.end() && revision->is_number_unsigned()
                           ? revision->get<uint64_t>()
                           : 0);
}

void RolloutController::PollOtherController() {
  for (const NodeId& id : ranked_) {
    const std::optional<NodeRecord> record = core_->FindRecord(id);
    if (id == settings_.node_id || !record) {
      continue;
    }
    HttpConnection* const connection =
        ConnectionTo(id + "/rollouts", {record->address, record->admin_port});
    if (connection == nullptr) {
      continue;
    }
    connection->Send(
        MakeRequest(kRolloutsPath), kAdminTimeout,
        [this](const HttpResponse& response) {
          const json body = json::parse(response.body, nullptr, false);
          const auto rollouts = body.find("sessions");
          if (rollouts == body.end() || !rollouts->is_array()) {
            return;
          }
          for (const json& rollout : *rollouts) {
            const auto service = rollout.find("service");
            const auto release = rollout.find("release");
            const auto deciding = rollout.find("deciding");
            if (service == rollout.end() || !service->is_string() ||
                release == rollout.end() || deciding == rollout.end() ||
                *deciding != true) {
              continue;
            }
            const auto session = sessions_.find(service->get<std::string>());
            if (session != sessions_.end() &&
                *release == session->second->order().release) {
              session->second->OnOtherDecides();
            }
          }
        });
  }
}

json RolloutController::Status() const {
  json shares = json::array();
  for (const RolloutShare& share : core_->rollout_shares().All()) {
    shares.push_back({{"service", share.service},
                      {"release", share.release},
                      {"share", share.share},
                      {"epoch", share.epoch}});
  }
  json sessions = json::array();
  for (const auto& [service, session] : sessions_) {
    sessions.push_back(session->Status());
  }
  return {{"controller", is_controller_},
          {"controllers", ranked_},
          {"shares", std::move(shares)},
          {"sessions", std::move(sessions)}};
}

}  // namespace dragonflytack
