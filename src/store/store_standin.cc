#include "store/store_standin.h"

#include <algorithm>
#include <array>
#include <utility>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <nlohmann/json.hpp>

#include "dragonflytack/base/event_loop.h"
#include "store/store_protocol.h"

namespace dragonflytack {

namespace {

// Longer than any watch: evhttp's default of 50 s would end a long watch.
constexpr int kIdleTimeoutSeconds = 3600;
constexpr int kMaxWatchMs = 600'000;

std::map<std::string, std::string> ParseQuery(evhttp_request* request) {
  std::map<std::string, std::string> query;
  const char* text =
      evhttp_uri_get_query(evhttp_request_get_evhttp_uri(request));
  evkeyvalq pairs;
  if (text != nullptr && evhttp_parse_query_str(text, &pairs) == 0) {
    for (const evkeyval* pair = pairs.tqh_first; pair != nullptr;
         pair = pair->next.tqe_next) {
      query[pair->key] = pair->value;
    }
    evhttp_clear_headers(&pairs);
  }
  return query;
}

std::string RequestPath(evhttp_request* request) {
  const char* path =
      evhttp_uri_get_path(evhttp_request_get_evhttp_uri(request));
  return path == nullptr ? std::string() : path;
}

// Returns the version of the condition header, or std::nullopt if the header is
// missing or malformed.
std::optional<StoreVersion> ReadCondition(evhttp_request* request) {
  const char* text =
      evhttp_find_header(evhttp_request_get_input_headers(request),
                         StoreProtocol::kConditionHeader);
  return text == nullptr ? std::nullopt : StoreProtocol::ParseVersion(text);
}

// Returns false if the request is conditional on another era.
bool IsEraMet(evhttp_request* request, uint64_t era) {
  const char* text =
      evhttp_find_header(evhttp_request_get_input_headers(request),
                         StoreProtocol::kEraConditionHeader);
  return text == nullptr || StoreProtocol::ParseVersion(text) == era;
}

uint16_t BoundPort(evhttp_bound_socket* socket) {
  sockaddr_storage address;
  socklen_t size = sizeof(address);
  getsockname(evhttp_bound_socket_get_fd(socket),
              reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.ss_family == AF_INET6
                   ? reinterpret_cast<sockaddr_in6*>(&address)->sin6_port
                   : reinterpret_cast<sockaddr_in*>(&address)->sin_port);
}

}  // namespace

std::unique_ptr<StoreStandin> StoreStandin::Make(EventLoop* loop,
                                                 const HostPort& listen,
                                                 const HostPort& admin,
                                                 Failure* reason) {
  std::unique_ptr<StoreStandin> standin(new StoreStandin(loop, listen, admin));
  standin->server_ = standin->Listen(&standin->listen_, false);
  if (standin->server_ == nullptr) {
    *reason = Failure{FailureCode::kAddressInUse, listen.ToString(),
                      "the port cannot be bound"};
    return nullptr;
  }
  if (!admin.address.empty()) {
    standin->admin_server_ = standin->Listen(&standin->admin_, true);
    if (standin->admin_server_ == nullptr) {
      *reason = Failure{FailureCode::kAddressInUse, admin.ToString(),
                        "the admin port cannot be bound"};
      return nullptr;
    }
  }
  return standin;
}

StoreStandin::StoreStandin(EventLoop* loop,
                           const HostPort& listen,
                           const HostPort& admin)
    : loop_(loop), listen_(listen), admin_(admin) {}

StoreStandin::~StoreStandin() {
  CloseServer();
  if (admin_server_ != nullptr) {
    evhttp_free(admin_server_);
  }
}

evhttp* StoreStandin::Listen(HostPort* address, bool admin) {
  evhttp* server = evhttp_new(loop_->base());
  evhttp_bound_socket* socket = evhttp_bind_socket_with_handle(
      server, address->address.c_str(), address->port);
  if (socket == nullptr) {
    evhttp_free(server);
    return nullptr;
  }
  address->port = BoundPort(socket);
  evhttp_set_timeout(server, kIdleTimeoutSeconds);
  evhttp_set_allowed_methods(server, EVHTTP_REQ_GET | EVHTTP_REQ_PUT |
                                         EVHTTP_REQ_DELETE | EVHTTP_REQ_POST);
  evhttp_set_max_body_size(server, StoreProtocol::kMaxResponseBytes);
  evhttp_set_gencb(
      server,
      admin ? [](evhttp_request* request,
                 void* self) {
        static_cast<StoreStandin*>(self)->HandleAdmin(request);
      }
            : [](evhttp_request* request, void* self) {
                static_cast<StoreStandin*>(self)->HandleRequest(request);
              },
      this);
  return server;
}

void StoreStandin::CloseServer() {
  if (server_ != nullptr) {
    evhttp_free(std::exchange(server_, nullptr));
  }
}

bool StoreStandin::SetFaults(const StoreFaults& faults) {
  faults_ = faults;
  if (faults_.outage == StoreOutage::kRefuse) {
    CloseServer();
  } else if (server_ == nullptr) {
    server_ = Listen(&listen_, false);
  }
  return faults_.outage == StoreOutage::kRefuse || server_ != nullptr;
}

void StoreStandin::RecordChanges() {
  const TimePoint now = loop_->clock().Now();
  change_times_.emplace_back(now, objects_.changes());
  // The last state before the oldest copy is that copy.
  while (change_times_.size() > 1 &&
         change_times_[1].first < now - kMaxCopyAge) {
    change_times_.pop_front();
    objects_.ForgetChanges(change_times_.front().second);
  }
}

void StoreStandin::ReturnFromCopy(Milliseconds age) {
  const TimePoint copied =
      loop_->clock().Now() - std::clamp(age, Milliseconds(0), kMaxCopyAge);
  uint64_t changes = 0;
  for (const auto& [time, count] : change_times_) {
    if (time <= copied) {
      changes = count;
    }
  }
  objects_.ReturnTo(changes);
  RecordChanges();
  for (auto& [connection, pending] : pending_) {
    pending.watched_key.clear();
    AbortConnection(pending.request);
  }
}

int StoreStandin::pending_watches() const {
  return static_cast<int>(std::count_if(
      pending_.begin(), pending_.end(),
      [](const auto& item) { return !item.second.watched_key.empty(); }));
}

bool StoreStandin::ExceedsRate(bool is_write) {
  const int64_t second = loop_->clock().WallMillis() / 1000;
  if (second != rate_second_) {
    rate_second_ = second;
    writes_this_second_ = 0;
    reads_this_second_ = 0;
  }
  const int calls = is_write ? ++writes_this_second_
                             : ++reads_this_second_ + pending_watches();
  const int limit = is_write ? faults_.writes_per_s : faults_.reads_per_s;
  return limit > 0 && calls > limit;
}

void StoreStandin::HandleRequest(evhttp_request* request) {
  struct Route {
    evhttp_cmd_type method;
    std::string_view path;
    Handler handler;  // Null for watches, whose response is sent later.
    uint64_t StoreCounters::*counter;
  };
  static constexpr std::array<Route, 5> kRoutes = {{
      {EVHTTP_REQ_GET, StoreProtocol::kObjectsPath, &StoreStandin::HandleGet,
       &StoreCounters::reads},
      {EVHTTP_REQ_PUT, StoreProtocol::kObjectsPath, &StoreStandin::HandlePut,
       &StoreCounters::writes},
      {EVHTTP_REQ_DELETE, StoreProtocol::kObjectsPath,
       &StoreStandin::HandleDelete, &StoreCounters::deletes},
      {EVHTTP_REQ_GET, StoreProtocol::kWatchPath, nullptr,
       &StoreCounters::watches},
      {EVHTTP_REQ_GET, StoreProtocol::kListPath, &StoreStandin::HandleList,
       &StoreCounters::lists},
  }};
  evhttp_connection* connection = evhttp_request_get_connection(request);
  pending_[connection] = PendingRequest{.request = request};
  evhttp_connection_set_closecb(connection, &StoreStandin::OnClose, this);
  // evhttp stops reading while a request has no response, and would not detect
  // that the peer has closed the connection. It ends the process if its read
  // callback is called in this state, and sets the callback again when the
  // response is sent. The bytes that arrive meanwhile are limited.
  bufferevent* bufev = evhttp_connection_get_bufferevent(connection);
  bufferevent_setwatermark(bufev, EV_READ, 0,
                           2 * StoreProtocol::kMaxResponseBytes);
  bufferevent_data_cb on_write = nullptr;
  bufferevent_event_cb on_event = nullptr;
  void* argument = nullptr;
  bufferevent_getcb(bufev, nullptr, &on_write, &on_event, &argument);
  bufferevent_setcb(bufev, nullptr, on_write, on_event, argument);
  bufferevent_enable(bufev, EV_READ);

  const std::string path = RequestPath(request);
  const auto route =
      std::find_if(kRoutes.begin(), kRoutes.end(), [&](const Route& item) {
        return item.method == evhttp_request_get_command(request) &&
               path.starts_with(item.path);
      });
  if (route == kRoutes.end()) {
    SendResponse(request, Response{.status = 400});
    return;
  }
  ++(counters_.*(route->counter));
  switch (faults_.outage) {
    case StoreOutage::kHang:
      return;
    case StoreOutage::kClose:
      AbortConnection(request);
      return;
    case StoreOutage::kUnavailable:
      SendResponse(request, Response{.status = 503});
      return;
    case StoreOutage::kOff:
    case StoreOutage::kRefuse:
      break;
  }
  const bool is_write = route->method != EVHTTP_REQ_GET;
  if (ExceedsRate(is_write)) {
    ++counters_.rate_limited;
    SendResponse(request, Response{.status = 429});
    return;
  }
  const std::string key = path.substr(route->path.size());
  if (route->path != StoreProtocol::kListPath && !StoreProtocol::IsKey(key)) {
    SendResponse(request, Response{.status = 400});
    return;
  }
  if (route->handler == nullptr) {
    HandleWatch(request, key);
    return;
  }
  Response response = (this->*(route->handler))(request, key);
  if (is_write && response.status == 200) {
    RecordChanges();
    NotifyWatches(key);
    if (faults_.lose_responses != 0) {
      faults_.lose_responses -= faults_.lose_responses > 0 ? 1 : 0;
      ++counters_.lost_responses;
      AbortConnection(request);
      return;
    }
  }
  SendResponse(request, std::move(response));
}

StoreStandin::Response StoreStandin::HandleGet(evhttp_request*,
                                               const std::string& key) {
  StoreObject object = objects_.Get(key);
  return Response{.status = object.version == 0 ? 404 : 200,
                  .headers = {{StoreProtocol::kVersionHeader,
                               std::to_string(object.version)}},
                  .body = std::move(object.value)};
}

StoreStandin::Response StoreStandin::MakeWriteResponse(
    const std::string& key,
    std::optional<StoreVersion> version) {
  if (!version) {
    ++counters_.conflicts;
  }
  return Response{
      .status = version ? 200 : 412,
      .headers = {
          {StoreProtocol::kVersionHeader,
           std::to_string(version ? *version : objects_.Get(key).version)}}};
}

StoreStandin::Response StoreStandin::HandlePut(evhttp_request* request,
                                               const std::string& key) {
  const std::optional<StoreVersion> condition = ReadCondition(request);
  if (!condition) {
    return Response{.status = 400};
  }
  if (!IsEraMet(request, objects_.era())) {
    return MakeWriteResponse(key, std::nullopt);
  }
  evbuffer* input = evhttp_request_get_input_buffer(request);
  std::string value(evbuffer_get_length(input), '\0');
  evbuffer_remove(input, value.data(), value.size());
  if (value.size() > StoreProtocol::kMaxValueBytes) {
    return Response{.status = 413};
  }
  return MakeWriteResponse(key,
                           objects_.Put(key, std::move(value), *condition));
}

StoreStandin::Response StoreStandin::HandleDelete(evhttp_request* request,
                                                  const std::string& key) {
  const std::optional<StoreVersion> condition = ReadCondition(request);
  if (!condition) {
    return Response{.status = 400};
  }
  if (!IsEraMet(request, objects_.era())) {
    return MakeWriteResponse(key, std::nullopt);
  }
  return MakeWriteResponse(key, objects_.Delete(key, *condition));
}

StoreStandin::Response StoreStandin::HandleList(evhttp_request* request,
                                                const std::string&) {
  auto query = ParseQuery(request);
  const std::optional<StoreVersion> limit =
      StoreProtocol::ParseVersion(query["limit"]);
  if (!limit || *limit < 1 || *limit > StoreProtocol::kMaxListLimit) {
    return Response{.status = 400};
  }
  bool more = false;
  Response response;
  for (const StoreObject& object : objects_.List(
           query["prefix"], query["start_after"], static_cast<int>(*limit),
           StoreProtocol::kMaxResponseBytes, &more)) {
    response.body += StoreProtocol::EncodeObject(object);
  }
  response.headers[StoreProtocol::kMoreHeader] = more ? "1" : "0";
  return response;
}

void StoreStandin::HandleWatch(evhttp_request* request,
                               const std::string& key) {
  auto query = ParseQuery(request);
  const std::optional<StoreVersion> after =
      StoreProtocol::ParseVersion(query["after"]);
  const std::optional<StoreVersion> timeout_ms =
      StoreProtocol::ParseVersion(query["timeout_ms"]);
  if (!after || !timeout_ms || *timeout_ms > kMaxWatchMs) {
    SendResponse(request, Response{.status = 400});
    return;
  }
  PendingRequest& pending = pending_[evhttp_request_get_connection(request)];
  pending.watched_key = key;
  pending.after = *after;
  if (objects_.LastWriteVersion(key) > *after) {
    NotifyWatches(key);
    return;
  }
  const uint64_t wait_ms = IsEraMet(request, objects_.era()) ? *timeout_ms : 0;
  pending.timer = loop_->timers().SubscribeOnce(
      Milliseconds(wait_ms), [this, request, after = *after] {
        SendResponse(request,
                     Response{.headers = {{StoreProtocol::kVersionHeader,
                                           std::to_string(after)}}});
      });
}

void StoreStandin::NotifyWatches(const std::string& key) {
  const StoreVersion version = objects_.LastWriteVersion(key);
  std::vector<evhttp_request*> due;
  for (const auto& [connection, pending] : pending_) {
    if (pending.watched_key == key && version > pending.after) {
      due.push_back(pending.request);
    }
  }
  for (evhttp_request* request : due) {
    SendResponse(request, Response{.headers = {{StoreProtocol::kVersionHeader,
                                                std::to_string(version)}}});
  }
}

void StoreStandin::SendResponse(evhttp_request* request, Response response) {
  PendingRequest& pending = pending_[evhttp_request_get_connection(request)];
  pending.watched_key.clear();
  loop_->timers().Cancel(pending.timer);
  pending.timer = loop_->timers().SubscribeOnce(
      Milliseconds(faults_.delay_ms),
      [this, request, response = std::move(response)] {
        pending_.erase(evhttp_request_get_connection(request));
        evhttp_add_header(evhttp_request_get_output_headers(request),
                          StoreProtocol::kEraHeader,
                          std::to_string(objects_.era()).c_str());
        for (const auto& [name, value] : response.headers) {
          evhttp_add_header(evhttp_request_get_output_headers(request),
                            name.c_str(), value.c_str());
        }
        evbuffer* body = evbuffer_new();
        evbuffer_add(body, response.body.data(), response.body.size());
        evhttp_send_reply(request, response.status, nullptr, body);
        evbuffer_free(body);
      });
}

void StoreStandin::AbortConnection(evhttp_request* request) {
  // evhttp still uses the connection after the handler returns, so it is closed
  // on the next turn of the loop.
  PendingRequest& pending = pending_[evhttp_request_get_connection(request)];
  loop_->timers().Cancel(pending.timer);
  pending.timer = loop_->timers().SubscribeOnce(Milliseconds(0), [request] {
    evhttp_connection_free(evhttp_request_get_connection(request));
  });
}

void StoreStandin::OnClose(evhttp_connection* connection, void* self) {
  auto* standin = static_cast<StoreStandin*>(self);
  const auto found = standin->pending_.find(connection);
  if (found == standin->pending_.end()) {
    return;
  }
  standin->loop_->timers().Cancel(found->second.timer);
  // If the peer closed the connection, evhttp has detached the request, which
  // must then be freed here. Otherwise evhttp frees the request with the
  // connection.
  if (evhttp_request_get_connection(found->second.request) == nullptr) {
    evhttp_request_free(found->second.request);
  }
  standin->pending_.erase(found);
}

std::string StoreStandin::StateJson() const {
  nlohmann::json faults = nlohmann::json::object();
  for (const auto& [name, value] : faults_.Describe()) {
    faults[name] = value;
  }
  const nlohmann::json state = {{"revision", objects_.revision()},
                                {"era", objects_.era()},
                                {"waiting_watches", pending_watches()},
                                {"faults", std::move(faults)},
                                {"counters",
                                 {{"reads", counters_.reads},
                                  {"writes", counters_.writes},
                                  {"deletes", counters_.deletes},
                                  {"watches", counters_.watches},
                                  {"lists", counters_.lists},
                                  {"conflicts", counters_.conflicts},
                                  {"rate_limited", counters_.rate_limited},
                                  {"lost_answers", counters_.lost_responses}}}};
  return state.dump();
}

void StoreStandin::HandleAdmin(evhttp_request* request) {
  const std::string path = RequestPath(request);
  const bool post = evhttp_request_get_command(request) == EVHTTP_REQ_POST;
  int status = 200;
  if (post && path == "/admin/faults") {
    StoreFaults faults = faults_;
    bool valid = true;
    for (const auto& [name, value] : ParseQuery(request)) {
      valid = faults.Set(name, value) && valid;
    }
    if (!valid || !SetFaults(faults)) {
      status = valid ? 500 : 400;
    }
  } else if (post && path == "/admin/reset") {
    counters_ = StoreCounters{};
  } else if (post && path == "/admin/return") {
    const std::optional<StoreVersion> age_ms =
        StoreProtocol::ParseVersion(ParseQuery(request)["age_ms"]);
    if (age_ms && *age_ms <= static_cast<uint64_t>(kMaxCopyAge.count())) {
      ReturnFromCopy(Milliseconds(*age_ms));
    } else {
      status = 400;
    }
  } else if (post || path != "/admin/state") {
    status = 404;
  }
  evbuffer* body = evbuffer_new();
  const std::string state = StateJson() + "\n";
  evbuffer_add(body, state.data(), state.size());
  evhttp_add_header(evhttp_request_get_output_headers(request), "Content-Type",
                    "application/json");
  evhttp_send_reply(request, status, nullptr, body);
  evbuffer_free(body);
}

}  // namespace dragonflytack
