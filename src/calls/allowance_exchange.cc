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

void Reply(evhttp_request* request, int status, const std::string& body) {
  evbuffer* buffer = evbuffer_new();
  evbuffer_add(buffer, body.data(), body.size());
  SendHttpReply(request, status, buffer);
  evbuffer_free(buffer);
}

Counter* GetRequests(MetricsRegistry* metrics, const char* result) {
  return metrics->GetCounter("dragonflytack_allowance_requests_total",
                             "Requests to home nodes of accounts",
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
      incarnation_(incarnation),
      ledger_(bounds),
      requests_(GetRequests(metrics, "response")),
      no_responses_(GetRequests(metrics, "no_response")),
      waits_(metrics->GetCounter("dragonflytack_allowance_waits_total",
                                 "Calls that waited for a home node")),
      entry_accounts_(GetAccounts(metrics, "entry")),
      home_accounts_(GetAccounts(metrics, "home")) {
  tick_timer_ =
      context_->loop->timers().SubscribeEvery(kTick, [this] { Tick(); });
}

AllowanceExchange::~AllowanceExchange() {
  context_->loop->timers().Cancel(tick_timer_);
  for (auto& [ticket, call] : waiting_) {
    context_->loop->timers().Cancel(call.timer);
  }
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
        ledger_.OnNodeEnded(id);
      }
    }
  }
  if (homes_.SetNodes(nodes)) {
    ledger_.OnHomesChanged(Now());
  }
}

AllowanceGate::Answer AllowanceExchange::Ask(const std::string& account,
                                             const AllowanceLimit& limit,
                                             uint64_t* ticket,
                                             Callback callback) {
  *ticket = 0;
  AllowanceGate::Answer answer = gate_.Ask(account, limit, Now());
  if (answer.decision == AllowanceGate::Decision::kWaits &&
      homes_.Find(account).node == context_->node) {
    SendDue();
    answer = gate_.Resolve(account, Now());
  }
  if (answer.decision == AllowanceGate::Decision::kRefused) {
    CountRefusal(account);
  }
  if (answer.decision != AllowanceGate::Decision::kWaits) {
    return answer;
  }
  waits_->Add();
  *ticket = next_ticket_++;
  const TimerId timer = context_->loop->timers().SubscribeOnce(
      kAllowanceMaxWait, [this, number = *ticket] { Finish(number); });
  waiting_.emplace(*ticket, WaitingCall{account, std::move(callback), timer});
  SendDue();
  return answer;
}

void AllowanceExchange::Cancel(uint64_t ticket) {
  const auto found = waiting_.find(ticket);
  if (found == waiting_.end()) {
    return;
  }
  gate_.Abandon(found->second.account);
  context_->loop->timers().Cancel(found->second.timer);
  waiting_.erase(found);
}

void AllowanceExchange::Finish(uint64_t ticket) {
  const auto found = waiting_.find(ticket);
  if (found == waiting_.end()) {
    return;
  }
  const WaitingCall call = std::move(found->second);
  waiting_.erase(found);
  context_->loop->timers().Cancel(call.timer);
  const AllowanceGate::Answer answer = gate_.Resolve(call.account, Now());
  if (answer.decision == AllowanceGate::Decision::kRefused) {
    CountRefusal(call.account);
  }
  call.callback(answer);
}

void AllowanceExchange::Resolve(const std::string& account,
                                uint64_t last_ticket) {
  std::vector<uint64_t> tickets;
  for (const auto& [ticket, call] : waiting_) {
    if (ticket > last_ticket) {
      break;
    }
    if (call.account == account) {
      tickets.push_back(ticket);
    }
  }
  for (const uint64_t ticket : tickets) {
    Finish(ticket);
  }
}

void AllowanceExchange::Tick() {
  const TimePoint now = Now();
  if (now >= next_sweep_) {
    next_sweep_ = now + kSweepPeriod;
    gate_.Sweep(now);
    ledger_.Sweep(now);
    entry_accounts_->Set(static_cast<int64_t>(gate_.account_count()));
    home_accounts_->Set(static_cast<int64_t>(ledger_.account_count()));
    for (const NodeId& lost : ledger_.LostNodes()) {
      Probe(lost, /*is_home=*/false);
    }
    std::erase_if(refusals_, [now](const auto& item) {
      return now - item.second.logged > 2 * kLogPeriod;
    });
  }
  if (gate_.account_count() == 0) {
    return;
  }
  for (const NodeId& home : homes_.TakeProbes(now)) {
    if (home != context_->node && !sent_.contains(home)) {
      Send(home, {});
    }
  }
  SendDue();
}

void AllowanceExchange::SendDue() {
  const TimePoint now = Now();
  for (const NodeId& home : gate_.DueHomes(homes_, now)) {
    if (!sent_.contains(home)) {
      Send(home, gate_.TakeReports(homes_, home, now));
    }
  }
}

void AllowanceExchange::Send(const NodeId& home,
                             std::vector<AllowanceReport> reports) {
  const TimePoint now = Now();
  AllowanceRequest request{context_->node, incarnation_, ++sequence_,
                           std::move(reports)};
  if (home == context_->node) {
    const AllowanceResponse response = ledger_.OnRequest(request, now);
    gate_.OnResponse(home, response, now, now);
    // Calls that waited for another home node.
    const uint64_t last_ticket = next_ticket_ - 1;
    for (const AllowanceGrant& grant : response.grants) {
      Resolve(grant.account, last_ticket);
    }
    return;
  }
  Sent sent;
  sent.time = now;
  sent.last_ticket = next_ticket_ - 1;
  for (const AllowanceReport& report : request.reports) {
    sent.accounts.push_back(report.account);
  }
  if (const NodeLocation* const location = FindLocation(home)) {
    const std::string body = request.Encode(shared_key_);
    sent.exchange = context_->connections->Start(
        {location->address, location->mesh_port}, kMaxConnections,
        kAllowanceResponseTime, EVHTTP_REQ_POST, kPath,
        [&body](evhttp_request* out) {
          AddHeader(evhttp_request_get_output_headers(out), "Content-Length",
                    static_cast<int64_t>(body.size()));
          evbuffer_add(evhttp_request_get_output_buffer(out), body.data(),
                       body.size());
        },
        [this, home](ExchangeOutcome outcome, HttpRequestPtr response) {
          OnExchangeFinished(home, outcome, std::move(response));
        });
  }
  if (sent.exchange == nullptr) {
    OnNoResponse(home, sent);
    return;
  }
  sent_.emplace(home, std::move(sent));
}

void AllowanceExchange::OnExchangeFinished(const NodeId& home,
                                           ExchangeOutcome outcome,
                                           HttpRequestPtr response) {
  const auto found = sent_.find(home);
  Sent sent = std::move(found->second);
  sent_.erase(found);
  context_->deleter->Add(std::move(sent.exchange));
  std::optional<AllowanceResponse> decoded;
  if (outcome == ExchangeOutcome::kCompleted) {
    Failure reason;
    decoded = AllowanceResponse::Decode(ReadInput(response.get()), shared_key_,
                                        &reason);
  }
  if (!decoded) {
    OnNoResponse(home, sent);
    SendDue();
    return;
  }
  requests_->Add();
  homes_.OnResponse(home);
  gate_.OnResponse(home, *decoded, sent.time, Now());
  for (const AllowanceGrant& grant : decoded->grants) {
    Resolve(grant.account, sent.last_ticket);
  }
  SendDue();
}

void AllowanceExchange::OnNoResponse(const NodeId& home, const Sent& sent) {
  no_responses_->Add();
  homes_.OnNoResponse(home, Now());
  gate_.OnNoResponse(sent.accounts);
  Probe(home, /*is_home=*/true);
}

void AllowanceExchange::Probe(const NodeId& node, bool is_home) {
  const NodeLocation* const location = FindLocation(node);
  if (location == nullptr || probes_.contains(node)) {
    return;
  }
  probes_[node] = std::make_unique<ConnectionProbe>(
      context_->loop->base(), HostPort{location->address, location->mesh_port},
      [this, node, is_home](bool is_refused) {
        context_->deleter->Add(std::move(probes_[node]));
        probes_.erase(node);
        if (!is_refused) {
          return;
        }
        ledger_.OnNodeEnded(node);
        if (is_home) {
          homes_.OnNodeEnded(node, Now());
          SendDue();
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

bool AllowanceExchange::OnMeshRequest(evhttp_request* request) {
  // A call for the local target has the same path if its caller chose it, and
  // names a service.
  if (evhttp_request_get_uri(request) != std::string_view(kPath) ||
      !FindHeader(evhttp_request_get_input_headers(request), kServiceHeader)
           .empty()) {
    return false;
  }
  Failure reason;
  const auto decoded =
      AllowanceRequest::Decode(ReadInput(request), shared_key_, &reason);
  if (!decoded) {
    context_->logger->Warning("allowance_request_refused",
                              {{"reason", reason.ToString()}});
    Reply(request, kBadRequest, {});
    return true;
  }
  Reply(request, kOk, ledger_.OnRequest(*decoded, Now()).Encode(shared_key_));
  return true;
}

}  // namespace dragonflytack
