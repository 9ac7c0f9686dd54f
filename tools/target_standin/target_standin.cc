#include "target_standin/target_standin.h"

#include <sys/socket.h>
#include <algorithm>
#include <string_view>
#include <utility>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "calls/http_headers.h"
#include "calls/inbound_call.h"
#include "calls/native_header_codec.h"

namespace dragonflytack {

namespace {

// Failures of a release that "bad_release" makes bad.
constexpr double kBadErrorRate = 0.5;
constexpr char kRequestIdHeader[] = "x-request-id";
constexpr char kChainHeader[] = "x-chain";
constexpr Milliseconds kAnnouncePeriod{1000};
constexpr Milliseconds kDefaultChainDeadline{10'000};
constexpr int kSlowStartFactor = 10;

std::string BodyOf(evhttp_request* request) {
  evbuffer* buffer = evhttp_request_get_input_buffer(request);
  std::string body(evbuffer_get_length(buffer), '\0');
  evbuffer_copyout(buffer, body.data(), body.size());
  return body;
}

void ReplyText(InboundCall* inbound, int status, const std::string& body) {
  evhttp_add_header(inbound->response_headers(), "Content-Type",
                    "application/json");
  evbuffer* buffer = evbuffer_new();
  evbuffer_add(buffer, body.data(), body.size());
  inbound->Reply(status, buffer);
  evbuffer_free(buffer);
}

// Shuts down the connection of a call. evhttp then handles it as closed by the
// peer.
void CloseConnection(evhttp_request* request) {
  bufferevent* bufev =
      evhttp_connection_get_bufferevent(evhttp_request_get_connection(request));
  shutdown(bufferevent_getfd(bufev), SHUT_RDWR);
}

const NativeHeaderCodec kHeaderCodec;

void SendTruncatedResponse(evhttp_request* request, const std::string& body) {
  const std::string text =
      fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}",
                  body.size(), body.substr(0, body.size() / 2));
  bufferevent* bufev =
      evhttp_connection_get_bufferevent(evhttp_request_get_connection(request));
  send(bufferevent_getfd(bufev), text.data(), text.size(), MSG_NOSIGNAL);
  CloseConnection(request);
}

}  // namespace

class TargetStandin::Call final {
 public:
  Call(TargetStandin* standin, evhttp_request* request)
      : inbound(request, &kHeaderCodec, [this, standin] {
          standin->Remove(this);
        }) {}

  InboundCall inbound;
  std::string request_id;
  TimePoint start;
  TimerId timer = 0;
  std::unique_ptr<Exchange> next;
};

std::unique_ptr<TargetStandin> TargetStandin::Make(
    EventLoop* loop,
    const StandinOptions& options,
    Failure* reason) {
  std::unique_ptr<TargetStandin> standin(new TargetStandin(loop, options));
  standin->server_ = HttpServer::Make(
      loop->base(), options.listen,
      [pointer = standin.get()](evhttp_request* request) {
        pointer->OnRequest(request);
      },
      reason);
  if (standin->server_ == nullptr) {
    return nullptr;
  }
  return standin;
}

TargetStandin::TargetStandin(EventLoop* loop, const StandinOptions& options)
    : loop_(loop),
      options_(options),
      started_(loop->clock().Now()),
      deleter_(loop->base()),
      connections_(loop, &deleter_),
      random_(options.listen.port) {
  announce_timer_ =
      loop_->timers().SubscribeEvery(kAnnouncePeriod, [this] { Announce(); });
  Announce();
}

TargetStandin::~TargetStandin() {
  loop_->timers().Cancel(announce_timer_);
  loop_->timers().Cancel(leave_timer_);
  for (auto& [pointer, call] : calls_) {
    loop_->timers().Cancel(call->timer);
  }
  calls_.clear();
  server_.reset();
}

void TargetStandin::OnRequest(evhttp_request* request) {
  const std::string_view uri = evhttp_request_get_uri(request);
  if (uri == "/standin/switch") {
    HandleSwitch(request);
    return;
  }
  auto owned = std::make_unique<Call>(this, request);
  Call* call = owned.get();
  calls_.emplace(call, std::move(owned));
  if (uri == "/standin/counts") {
    ReplyText(&call->inbound, 200, counts_.ToJson());
    Remove(call);
    return;
  }
  if (uri == "/standin/executions") {
    ReplyText(&call->inbound, 200, counts_.RequestsToJson());
    Remove(call);
    return;
  }
  const evkeyvalq* headers = call->inbound.headers();
  call->request_id = FindHeader(headers, kRequestIdHeader);
  call->start = loop_->clock().Now();
  counts_.Record(FindHeader(headers, kKeyHeader), call->request_id);
  if (switches_.hang) {
    return;  // Held until the peer closes the connection.
  }
  // Beyond its slots, a target divides its processor among the calls, so each
  // takes proportionally longer.
  const int active = static_cast<int>(calls_.size());
  const int slowdown =
      std::max(1, (active + options_.slots - 1) / options_.slots);
  const int service_ms = options_.service_ms * slowdown *
                             (switches_.slow_start ? kSlowStartFactor : 1) +
                         switches_.delay_ms;
  if (service_ms == 0) {
    OnServiceTimeElapsed(call);
    return;
  }
  call->timer = loop_->timers().SubscribeOnce(
      Milliseconds(service_ms), [this, call] { OnServiceTimeElapsed(call); });
}

void TargetStandin::HandleSwitch(evhttp_request* request) {
  InboundCall inbound(request, &kHeaderCodec, nullptr);
  Failure reason;
  const std::optional<StandinSwitches> switches =
      StandinSwitches::Parse(BodyOf(request), switches_, &reason);
  if (!switches) {
    ReplyText(&inbound, 400, nlohmann::json(reason.ToString()).dump());
    return;
  }
  set_switches(*switches);
  ReplyText(&inbound, 200, switches_.ToJson());
}

void TargetStandin::set_switches(const StandinSwitches& switches) {
  switches_ = switches;
  Announce();
}

void TargetStandin::OnServiceTimeElapsed(Call* call) {
  call->timer = 0;
  if (switches_.close_without_response) {
    CloseConnection(call->inbound.request());
    return;
  }
  const double error_rate = switches_.bad_release
                                ? std::max(kBadErrorRate, switches_.error_rate)
                                : switches_.error_rate;
  if (error_rate > 0 && random_.Unit() < error_rate) {
    Respond(call, 500, "\"error switched on\"");
    return;
  }
  const std::string chain(FindHeader(call->inbound.headers(), kChainHeader));
  if (!chain.empty() && options_.call) {
    CallNextService(call, chain);
    return;
  }
  Respond(call, 200, "null");
}

void TargetStandin::CallNextService(Call* call, const std::string& chain) {
  const size_t comma = std::min(chain.find(','), chain.size());
  const std::string service = chain.substr(0, comma);
  const std::string rest = chain.substr(std::min(comma + 1, chain.size()));
  const evkeyvalq* in = call->inbound.headers();
  const auto elapsed =
      std::chrono::ceil<Milliseconds>(loop_->clock().Now() - call->start);
  const Milliseconds remaining =
      Milliseconds(FindNumber(in, kDeadlineHeader)
                       .value_or(kDefaultChainDeadline.count())) -
      elapsed;
  call->next = connections_.Start(
      *options_.call, options_.slots * 4, std::max(remaining, Milliseconds(1)),
      EVHTTP_REQ_GET, fmt::format("/{}/chain", service).c_str(),
      [&](evhttp_request* out) {
        evkeyvalq* headers = evhttp_request_get_output_headers(out);
        for (const char* name : {kRequestIdHeader, kTraceHeader, kKeyHeader}) {
          const std::string_view value = FindHeader(in, name);
          if (!value.empty()) {
            evhttp_add_header(headers, name, value.data());
          }
        }
        evhttp_add_header(headers, "Host", options_.call->ToString().c_str());
        AddHeader(headers, kDeadlineHeader,
                  std::max<int64_t>(remaining.count(), 0));
        if (!rest.empty()) {
          evhttp_add_header(headers, kChainHeader, rest.c_str());
        }
      },
      [this, call](ExchangeOutcome outcome, HttpRequestPtr response) {
        OnChainResponse(call, outcome, std::move(response));
      });
  if (call->next == nullptr) {
    Respond(call, 503, "\"no free connection for the chained call\"");
  }
}

void TargetStandin::OnChainResponse(Call* call,
                                    ExchangeOutcome outcome,
                                    HttpRequestPtr response) {
  deleter_.Add(std::move(call->next));
  if (outcome != ExchangeOutcome::kCompleted) {
    Respond(call, 502, "\"no response to the chained call\"");
    return;
  }
  const evkeyvalq* headers = evhttp_request_get_input_headers(response.get());
  const std::string_view retried = FindHeader(headers, kRetriedHeader);
  if (!retried.empty()) {
    evhttp_add_header(call->inbound.response_headers(), kRetriedHeader,
                      retried.data());
  }
  const int status = evhttp_request_get_response_code(response.get());
  std::string body = BodyOf(response.get());
  if (!nlohmann::json::accept(body)) {
    body = nlohmann::json(body).dump();
  }
  Respond(call, status == 200 ? 200 : 502, body);
}

void TargetStandin::Respond(Call* call,
                            int status,
                            const std::string& chain_body) {
  const std::string body = fmt::format(
      R"({{"target":"{}","service":"{}","request_id":{},"chain":{}}})",
      options_.listen.ToString(), options_.service,
      nlohmann::json(call->request_id)
          .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace),
      chain_body);
  if (switches_.truncate) {
    SendTruncatedResponse(call->inbound.request(), body);
    return;
  }
  evkeyvalq* headers = call->inbound.response_headers();
  const double load = switches_.false_load.value_or(
      std::min(1.0, static_cast<double>(calls_.size()) / options_.slots));
  evhttp_add_header(headers, kLoadHeader, fmt::format("{:.2f}", load).c_str());
  if (!call->request_id.empty()) {
    evhttp_add_header(headers, kRequestIdHeader, call->request_id.c_str());
  }
  ReplyText(&call->inbound, status, body);
  Remove(call);
}

void TargetStandin::Remove(Call* call) {
  loop_->timers().Cancel(call->timer);
  call->next.reset();
  const auto found = calls_.find(call);
  deleter_.Add(std::shared_ptr<void>(std::move(found->second)));
  calls_.erase(found);
  FinishLeavingIfIdle();
}

const char* TargetStandin::AnnouncedState() const {
  if (left_) {
    return "left";
  }
  if (leaving_ || switches_.drain) {
    return "draining";
  }
  const bool warming =
      switches_.slow_start ||
      loop_->clock().Now() - started_ < Milliseconds(options_.warm_up_ms);
  return warming ? "warming" : "ready";
}

void TargetStandin::Announce() {
  if (!options_.admin) {
    return;
  }
  announcement_ = connections_.Start(
      *options_.admin, 2, kAnnouncePeriod, EVHTTP_REQ_POST, "/announce",
      [this](evhttp_request* out) {
        const HostPort self = options_.announced.value_or(options_.listen);
        nlohmann::json target = {{"service", options_.service},
                                 {"address", self.address},
                                 {"port", self.port},
                                 {"state", AnnouncedState()},
                                 {"slots", options_.slots}};
        const std::string& release =
            switches_.release.empty() ? options_.release : switches_.release;
        if (!release.empty()) {
          target["release"] = release;
        }
        const std::string body = target.dump();
        evkeyvalq* headers = evhttp_request_get_output_headers(out);
        evhttp_add_header(headers, "Host", options_.admin->ToString().c_str());
        evhttp_add_header(headers, "Content-Type", "application/json");
        evbuffer_add(evhttp_request_get_output_buffer(out), body.data(),
                     body.size());
      },
      [this](ExchangeOutcome /*outcome*/, HttpRequestPtr /*response*/) {
        deleter_.Add(std::move(announcement_));
      });
}

void TargetStandin::Leave(std::function<void()> on_left) {
  if (leaving_) {
    return;
  }
  leaving_ = true;
  on_left_ = std::move(on_left);
  Announce();
  // Calls that other nodes sent before they received the draining state may
  // still arrive.
  leave_timer_ = loop_->timers().SubscribeOnce(kAnnouncePeriod, [this] {
    leave_timer_ = 0;
    FinishLeavingIfIdle();
  });
}

void TargetStandin::FinishLeavingIfIdle() {
  if (!leaving_ || left_ || leave_timer_ != 0 || !calls_.empty()) {
    return;
  }
  left_ = true;
  Announce();
  constexpr Milliseconds kFinalAnnouncementTime{100};
  leave_timer_ =
      loop_->timers().SubscribeOnce(kFinalAnnouncementTime, on_left_);
}

}  // namespace dragonflytack
