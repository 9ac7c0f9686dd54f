#include "calls/allowance_exchange.h"

#include <algorithm>
#include <utility>

#include <event2/buffer.h>
#include <event2/http.h>

#include "accounts/allowance_message.h"
#include "accounts/allowance_timing.h"
#include "base/http_reply.h"
#include "calls/connection_pool.h"
#include "calls/deferred_deleter.h"
#include "calls/http_headers.h"
#include "calls/inbound_call.h"
#include "dragonflytack/base/event_loop.h"
#include "dragonflytack/base/logger.h"
#include "dragonflytack/observe/metrics_registry.h"
#include "dragonflytack/routing/route_snapshot.h"
#include "routing/router.h"

namespace dragonflytack {

namespace {

// Reports are due every 500 ms, silent nodes are tried every 250 ms.
constexpr Milliseconds kTick{100};
constexpr Milliseconds kSweepPeriod{1'000};
// Reports, probes and an answer that arrives late may overlap.
constexpr int kMaxConnections = 4;
// One line per account and period; the fields tell what it leaves out.
constexpr Milliseconds kLogPeriod{10'000};

constexpr int kOk = 200;
constexpr int kBadRequest = 400;

std::string ReadInput(evhttp_request* request) {
  evbuffer* buffer = evhttp_request_get_input_buffer(request);
  std::string body(evbuffer_get_length(buffer), '\0');
  evbuffer_copyout(buffer, body.data(), body.size());
  return body;
}

Counter* GetRequests(MetricsRegistry* metrics, const char* result) {
  return metrics->GetCounter("dragonflytack_allowance_requests_total",
                             "Requests to agents and home nodes of accounts",
                             {{"result", result}});
}

Gauge* GetAccounts(MetricsRegistry* metrics, const char* side) {
  return metrics->GetGauge("dragonflytack_allowance_accounts",
                           "Accounts with a limit that have calls",
                           {{"side", side}});
}

}  // namespace

AllowanceExchange::AllowanceExchange(const CallContext* context,
                                     const AllowanceBounds& bounds,
                                     std::string shared_key,
                                     uint64_t incarnation,
                                     MetricsRegistry* metrics)
    : context_(context),
      shared_key_(std::move(shared_key)),
      node_(context->node, incarnation, bounds),
      requests_(GetRequests(metrics, "response")),
      no_responses_(GetRequests(metrics, "no_response")),
      waits_(
          metrics->GetCounter("dragonflytack_allowance_waits_total",
                              "Calls that waited for an agent or a home node")),
      entry_accounts_(GetAccounts(metrics, "entry")),
      home_accounts_(GetAccounts(metrics, "home")),
      agent_accounts_(GetAccounts(metrics, "agent")) {
  tick_timer_ =
      context_->loop->timers().SubscribeEvery(kTick, [this] { Tick(); });
}

AllowanceExchange::~AllowanceExchange() {
  context_->loop->timers().Cancel(tick_timer_);
  context_->loop->timers().Cancel(deadline_timer_);
}

TimePoint AllowanceExchange::Now() const {
  return context_->loop->clock().Now();
}

const NodeLocation* AllowanceExchange::FindLocation(const NodeId& node) const {
  const auto& routes = context_->router->routes();
  if (routes == nullptr || routes->nodes == nullptr) {
    return nullptr;
  }
  const auto found = routes->nodes->find(node);
  return found == routes->nodes->end() ? nullptr : &found->second;
}

void AllowanceExchange::OnRoutes() {
  std::vector<AllowanceHomes::Node> nodes{};
  if (context_->router->routes()->nodes != nullptr) {
    for (const auto& [id, node] : *context_->router->routes()->nodes) {
      if (node.liveness != Liveness::kDead) {
        nodes.push_back({id, node.data_centre});
      } else {
        node_.OnNodeDead(id);
      }
    }
  }
  node_.SetNodes(nodes, Now());
  Pump();
}

AllowanceGate::Answer AllowanceExchange::Ask(const std::string& account,
                                             const AllowanceLimit& limit,
                                             uint64_t* ticket,
                                             Callback callback) {
  const AllowanceGate::Answer answer = node_.Ask(account, limit, Now(), ticket);
  if (answer.decision == AllowanceGate::Decision::kRefused) {
    CountRefusal(account);
  } else if (answer.decision == AllowanceGate::Decision::kWaits) {
    waits_->Add();
    callbacks_.emplace(*ticket, std::move(callback));
  }
  Pump();
  return answer;
}

void AllowanceExchange::Cancel(uint64_t ticket) {
  callbacks_.erase(ticket);
  node_.Cancel(ticket);
}

void AllowanceExchange::Finish(const AllowanceNode::Decision& decision) {
  const auto found = callbacks_.find(decision.ticket);
  if (found == callbacks_.end()) {
    return;
  }
  const Callback callback = std::move(found->second);
  callbacks_.erase(found);
  if (decision.answer.decision == AllowanceGate::Decision::kRefused) {
    CountRefusal(decision.account);
  }
  callback(decision.answer);
}

void AllowanceExchange::Tick() {
  const TimePoint now = Now();
  if (now >= next_sweep_) {
    next_sweep_ = now + kSweepPeriod;
    node_.Sweep(now);
    entry_accounts_->Set(static_cast<int64_t>(node_.entry_account_count()));
    home_accounts_->Set(static_cast<int64_t>(node_.home_account_count()));
    agent_accounts_->Set(static_cast<int64_t>(node_.agent_account_count()));
    for (const NodeId& lost : node_.LostNodes()) {
      Probe(lost);
    }
    std::erase_if(refusals_, [now](const auto& item) {
      return now - item.second.logged > 2 * kLogPeriod;
    });
  }
  node_.Tick(now);
  Pump();
}

void AllowanceExchange::Pump() {
  // Callbacks ask again.
  if (is_pumping_) {
    return;
  }
  is_pumping_ = true;
  bool has_work = true;
  while (has_work) {
    has_work = false;
    for (AllowanceNode::Message& message : node_.TakeMessages()) {
      has_work = true;
      Send(std::move(message));
    }
    for (const AllowanceNode::Reply& reply : node_.TakeReplies()) {
      has_work = true;
      Reply(reply);
    }
    for (const AllowanceNode::Decision& decision : node_.TakeDecisions()) {
      has_work = true;
      Finish(decision);
    }
  }
  is_pumping_ = false;
  SetDeadline();
}

void AllowanceExchange::SetDeadline() {
  const std::optional<TimePoint> next = node_.NextDeadline();
  if (next == deadline_) {
    return;
  }
  deadline_ = next;
  context_->loop->timers().Cancel(std::exchange(deadline_timer_, 0));
  if (!next) {
    return;
  }
  const auto delay = std::chrono::ceil<Milliseconds>(*next - Now());
  deadline_timer_ = context_->loop->timers().SubscribeOnce(
      std::max(delay, Milliseconds(0)), [this] {
        deadline_timer_ = 0;
        deadline_.reset();
        node_.Tick(Now());
        Pump();
      });
}

void AllowanceExchange::Send(AllowanceNode::Message message) {
  std::unique_ptr<Exchange> exchange;
  if (const NodeLocation* const location = FindLocation(message.to)) {
    const std::string body = message.request.Encode(shared_key_);
    exchange = context_->connections->Start(
        {location->address, location->mesh_port}, kMaxConnections,
        message.timeout, EVHTTP_REQ_POST, kPath,
        [&body](evhttp_request* out) {
          AddHeader(evhttp_request_get_output_headers(out), "Content-Length",
                    static_cast<int64_t>(body.size()));
          evbuffer_add(evhttp_request_get_output_buffer(out), body.data(),
                       body.size());
        },
        [this, id = message.id, to = message.to](ExchangeOutcome outcome,
                                                 HttpRequestPtr response) {
          OnExchangeFinished(id, to, outcome, std::move(response));
        });
  }
  if (exchange == nullptr) {
    OnNoResponse(message.id, message.to);
    return;
  }
  exchanges_.emplace(message.id, std::move(exchange));
}

void AllowanceExchange::OnExchangeFinished(uint64_t message,
                                           const NodeId& to,
                                           ExchangeOutcome outcome,
                                           HttpRequestPtr response) {
  // `to` belongs to the exchange, so that is deleted later.
  const auto found = exchanges_.find(message);
  context_->deleter->Add(std::move(found->second));
  exchanges_.erase(found);
  std::optional<AllowanceResponse> decoded;
  if (outcome == ExchangeOutcome::kCompleted) {
    Failure reason;
    decoded = AllowanceResponse::Decode(ReadInput(response.get()), shared_key_,
                                        &reason);
  }
  if (decoded) {
    requests_->Add();
    node_.OnResponse(message, *decoded, Now());
  } else {
    OnNoResponse(message, to);
  }
  Pump();
}

void AllowanceExchange::OnNoResponse(uint64_t message, const NodeId& to) {
  no_responses_->Add();
  node_.OnNoResponse(message, Now());
  Probe(to);
}

void AllowanceExchange::Probe(const NodeId& node) {
  const NodeLocation* const location = FindLocation(node);
  if (location == nullptr || probes_.contains(node)) {
    return;
  }
  probes_[node] = std::make_unique<ConnectionProbe>(
      context_->loop->base(), HostPort{location->address, location->mesh_port},
      [this, node](bool is_refused) {
        context_->deleter->Add(std::move(probes_[node]));
        probes_.erase(node);
        if (is_refused) {
          node_.OnNodeEnded(node, Now());
          Pump();
        }
      });
}

void AllowanceExchange::CountRefusal(const std::string& account) {
  Refusals& refusals = refusals_[account];
  ++refusals.count;
  const TimePoint now = Now();
  if (refusals.logged != TimePoint() && now - refusals.logged < kLogPeriod) {
    return;
  }
  context_->logger->Warning("allowance_exceeded",
                            {{"account", account}, {"calls", refusals.count}});
  refusals = {now, 0};
}

void AllowanceExchange::Reply(const AllowanceNode::Reply& reply) {
  const auto found = inbound_.find(reply.id);
  if (found != inbound_.end()) {
    found->second->Reply(kOk, reply.response.Encode(shared_key_));
    inbound_.erase(found);
  }
}

bool AllowanceExchange::OnMeshRequest(evhttp_request* request) {
  // A call for the local target has the same path if its caller chose it, and
  // names a service.
  if (evhttp_request_get_uri(request) != std::string_view(kPath) ||
      !FindHeader(evhttp_request_get_input_headers(request), kServiceHeader)
           .empty()) {
    return false;
  }
  Failure reason;
  auto decoded =
      AllowanceRequest::Decode(ReadInput(request), shared_key_, &reason);
  if (!decoded) {
    context_->logger->Warning("allowance_request_refused",
                              {{"reason", reason.ToString()}});
    InboundCall(request, context_->header_codec, [] {}).Reply(kBadRequest, "");
    return true;
  }
  const uint64_t id = node_.OnRequest(std::move(*decoded), Now());
  inbound_[id] = std::make_unique<InboundCall>(
      request, context_->header_codec, [this, id] {
        node_.AbandonRequest(id, Now());
        const auto found = inbound_.find(id);
        context_->deleter->Add(std::move(found->second));
        inbound_.erase(found);
      });
  Pump();
  return true;
}

}  // namespace dragonflytack
