#include "calls/one_time.h"

#include <utility>

#include <event2/buffer.h>
#include <event2/http.h>
#include <nlohmann/json.hpp>

#include "base/http_reply.h"
#include "calls/call_metrics.h"
#include "calls/http_headers.h"
#include "calls/inbound_call.h"
#include "dragonflytack/base/event_loop.h"
#include "dragonflytack/base/logger.h"
#include "onetime/claim.h"
#include "onetime/key_location.h"
#include "routing/router.h"
#include "store/http_store_client.h"

namespace dragonflytack {

namespace {

// Callers may request a key ahead of the call and have this long to use it.
constexpr Milliseconds kKeyLifetime = std::chrono::minutes(10);
constexpr Milliseconds kSweepPeriod{1'000};
// One page of 100 claims per period allows 10 deletions/s.
constexpr Milliseconds kClaimSweepPeriod{10'000};
constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kUnavailable = 503;

std::string ReadBody(evhttp_request* request) {
  evbuffer* buffer = evhttp_request_get_input_buffer(request);
  std::string body(evbuffer_get_length(buffer), '\0');
  evbuffer_copyout(buffer, body.data(), body.size());
  return body;
}

void ReplyJson(evhttp_request* request, int status, const std::string& body) {
  evhttp_add_header(evhttp_request_get_output_headers(request), "Content-Type",
                    "application/json");
  evbuffer* buffer = evbuffer_new();
  evbuffer_add(buffer, body.data(), body.size());
  SendHttpReply(request, status, buffer);
  evbuffer_free(buffer);
}

}  // namespace

OneTime::OneTime(const Settings& settings,
                 uint64_t incarnation,
                 CallContext* context,
                 Logger* logger,
                 Events events)
    : settings_(settings),
      context_(context),
      logger_(logger),
      records_(settings.node_id,
               incarnation,
               context->loop->clock().WallMillis(),
               context->loop->clock().Now(),
               {}),
      attempt_ids_(settings.node_id, incarnation),
      attempt_guard_(incarnation),
      handover_receiver_(&records_, events.on_takeover),
      dispatcher_(context, &records_, events.on_call_ended),
      forwarded_call_server_(context,
                             &dispatcher_,
                             settings.shared_key,
                             events.on_call_ended),
      claim_budget_(context->loop->clock().Now()),
      claim_sweep_(settings.shared_key) {
  context_->attempt_ids = &attempt_ids_;
  context_->attempt_guard = &attempt_guard_;
  if (settings.store.port != 0) {
    store_ =
        HttpStoreClient::Make(context_->loop, settings.store,
                              Milliseconds(settings.store_timeout_ms), logger_);
  }
  TimerService& timers = context_->loop->timers();
  sweep_timer_ = timers.SubscribeEvery(kSweepPeriod, [this] { Sweep(); });
  claim_sweep_timer_ =
      timers.SubscribeEvery(kClaimSweepPeriod, [this] { SweepClaims(); });
}

OneTime::~OneTime() {
  context_->loop->timers().Cancel(sweep_timer_);
  context_->loop->timers().Cancel(claim_sweep_timer_);
}

bool OneTime::OnMeshRequest(evhttp_request* request) {
  const evkeyvalq* headers = evhttp_request_get_input_headers(request);
  if (!FindHeader(headers, kOneTimeKeyHeader).empty()) {
    forwarded_call_server_.OnRequest(request);
    return true;
  }
  // A call for the local target has the same path if its caller chose it, and
  // names a service.
  if (FindHeader(headers, kServiceHeader).empty() &&
      evhttp_request_get_uri(request) ==
          std::string_view(HandoverRunner::kPath)) {
    OnHandoverMessage(request);
    return true;
  }
  return false;
}

void OneTime::OnHandoverMessage(evhttp_request* request) {
  Failure reason;
  auto message =
      HandoverMessage::Decode(ReadBody(request), shared_key(), &reason);
  if (!message) {
    logger_->Warning("handover_refused", {{"reason", reason.ToString()}});
    ReplyJson(request, kBadRequest, "{}");
    return;
  }
  const HandoverReply reply = handover_receiver_.OnMessage(
      std::move(*message), context_->loop->clock().Now());
  AddHeader(evhttp_request_get_output_headers(request),
            HandoverRunner::kReplyHeader, static_cast<int64_t>(reply));
  ReplyJson(request, kOk, "{}");
}

void OneTime::OnKeyRequest(evhttp_request* request) {
  constexpr int kMethodNotAllowed = 405;
  if (evhttp_request_get_command(request) != EVHTTP_REQ_POST) {
    ReplyJson(request, kMethodNotAllowed, R"({"error":"bad_request"})");
    return;
  }
  if (refusing_keys_ || records_.draining()) {
    ReplyJson(request, kUnavailable, R"({"error":"stopping"})");
    return;
  }
  if (context_->router->routes() == nullptr) {
    // Without a table, a call with the key could only end as unknown.
    ReplyJson(request, kUnavailable, R"({"error":"no_table"})");
    return;
  }
  const OneTimeKey key =
      records_.NewKey(context_->loop->clock().Now(), kKeyLifetime);
  ReplyJson(request, kOk,
            nlohmann::json{{"key", key.ToText(shared_key())},
                           {"expires_ms", key.expiry_ms}}
                .dump());
}

void OneTime::OnRoutes() {
  const auto& routes = context_->router->routes();
  if (routes->nodes != nullptr) {
    claim_budget_.SetNodes(routes->nodes->size());
  }
}

void OneTime::Sweep() {
  const TimePoint now = context_->loop->clock().Now();
  records_.Sweep(now);
  handover_receiver_.Sweep(now);
  attempt_guard_.Sweep(now);
  context_->metrics->one_time_records()->Set(
      static_cast<int64_t>(records_.records()));
}

void OneTime::SweepClaims() {
  const auto& routes = context_->router->routes();
  if (store_ == nullptr || routes == nullptr ||
      !ClaimSweep::IsSweeper(settings_.node_id, *routes)) {
    return;
  }
  store_->List(
      std::string(Claim::kPrefix), claim_sweep_.start_after(),
      ClaimSweep::kPageSize,
      [this](std::optional<std::vector<StoreObject>> page, const Failure&) {
        if (!page) {
          return;
        }
        const int64_t wall_ms = context_->loop->clock().WallMillis();
        for (const StoreObject& claim : claim_sweep_.OnPage(*page, wall_ms)) {
          // A deletion that fails is retried when the list is read again.
          store_->Delete(claim.key, claim.version,
                         [](std::optional<StoreVersion>, const Failure&) {});
        }
      });
}

void OneTime::HandOver(std::function<void(const NodeId& successor)> done) {
  CutOff();
  std::vector<NodeLocation> candidates;
  if (context_->router->routes() != nullptr) {
    candidates = SuccessorCandidates(settings_.node_id, settings_.data_centre,
                                     *context_->router->routes());
  }
  handover_runner_ = std::make_unique<HandoverRunner>(
      context_, shared_key(), &records_, std::move(candidates),
      [this, done = std::move(done)](const NodeId& successor) {
        logger_->Info("handover_ended",
                      {{"successor", successor},
                       {"records", static_cast<uint64_t>(records_.records())}});
        done(successor);
      });
  handover_runner_->Start();
}

}  // namespace dragonflytack
