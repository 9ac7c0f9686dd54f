#include "support/load_generator.h"

#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <fmt/format.h>

#include "dragonflytack/base/timeval.h"
#include "support/pipelined_connection.h"

namespace dragonflytack {

namespace {

using SteadyClock = std::chrono::steady_clock;

constexpr timeval kSendInterval{0, 500};
constexpr int kHttpOk = 200;
constexpr size_t kMaxIdlePerEntry = 256;

double Seconds(SteadyClock::duration duration) {
  return std::chrono::duration<double>(duration).count();
}

// libevent's default clock has a resolution of 4 ms, which would send the calls
// in bursts.
event_base* MakePreciseBase() {
  event_config* config = event_config_new();
  event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
  event_base* base = event_base_new_with_config(config);
  event_config_free(config);
  return base;
}

std::string HeaderOf(evhttp_request* request, const char* name) {
  const char* value =
      evhttp_find_header(evhttp_request_get_input_headers(request), name);
  return value == nullptr ? std::string() : std::string(value);
}

std::string BodyOf(evhttp_request* request) {
  evbuffer* buffer = evhttp_request_get_input_buffer(request);
  std::string body(evbuffer_get_length(buffer), '\0');
  evbuffer_copyout(buffer, body.data(), body.size());
  return body;
}

}  // namespace

class LoadGenerator::Impl final {
 public:
  explicit Impl(LoadPlan plan)
      : plan_(std::move(plan)),
        base_(MakePreciseBase()),
        idle_(plan_.entries.size()),
        pipelines_(plan_.entries.size()) {}

  ~Impl() {
    for (auto& connections : idle_) {
      for (evhttp_connection* connection : connections) {
        evhttp_connection_free(connection);
      }
    }
    FreeRetiredConnections(-1, 0, this);
    pipelines_.clear();
    event_base_free(base_);
  }

  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  LoadResult Run() {
    start_ = SteadyClock::now();
    event* tick = event_new(base_, -1, EV_PERSIST, &Impl::OnTick, this);
    event_add(tick, &kSendInterval);
    event_base_dispatch(base_);
    event_free(tick);
    result_.counted_seconds = sending_seconds_ - plan_.warm_up_seconds;
    return std::move(result_);
  }

  void StopSending() { stop_ = true; }

 private:
  struct Call {
    Impl* generator;
    evhttp_connection* connection;
    size_t entry;
    std::string id;
    SteadyClock::time_point sent;
    bool counted;
    bool fetching_one_time_key;
    bool resent = false;
    std::string key = {};
    std::string first_failure_reason = {};
  };

  // What a call's response says.
  struct Answer {
    int status;
    std::string reason;
    std::string outcome;
    std::string body;
  };

  static void OnTick(int /*fd*/, short /*what*/, void* self) {
    static_cast<Impl*>(self)->SendDueCalls();
  }

  void SendDueCalls() {
    const double elapsed = Seconds(SteadyClock::now() - start_);
    if (!sending_finished_ && (stop_ || elapsed >= plan_.seconds)) {
      sending_finished_ = true;
      sending_seconds_ = elapsed;
    }
    while (!sending_finished_ &&
           static_cast<double>(next_call_) < elapsed * plan_.calls_per_second) {
      StartCall(elapsed);
    }
    for (Call* const call : std::exchange(behind_close_, {})) {
      SendPipelined(call);
    }
    if (sending_finished_ && open_calls_ == 0) {
      event_base_loopbreak(base_);
    }
  }

  void StartCall(double elapsed) {
    const size_t entry = next_call_ % plan_.entries.size();
    const bool pipelined = plan_.pipelined > 1;
    auto* call = new Call{this,
                          pipelined ? nullptr : TakeConnection(entry),
                          entry,
                          fmt::format("{}-{}", plan_.run_id, next_call_),
                          SteadyClock::now(),
                          elapsed >= plan_.warm_up_seconds,
                          plan_.fetch_one_time_keys};
    ++next_call_;
    ++open_calls_;
    result_.sent += call->counted ? 1 : 0;
    if (pipelined) {
      SendPipelined(call);
    } else if (call->fetching_one_time_key) {
      Send(call, EVHTTP_REQ_POST, "/-/keys", {});
    } else {
      Send(call, EVHTTP_REQ_GET, plan_.path, {});
    }
  }

  // Returns a connection on which calls are pending, if it takes another one,
  // so that calls share connections as far as possible.
  PipelinedConnection* TakePipeline(size_t entry) {
    auto& connections = pipelines_[entry];
    std::erase_if(connections, [](const auto& connection) {
      return connection->ended() && connection->pending() == 0;
    });
    PipelinedConnection* idle = nullptr;
    for (const auto& connection : connections) {
      if (connection->ended() ||
          connection->pending() >= static_cast<size_t>(plan_.pipelined)) {
        continue;
      }
      if (connection->pending() > 0) {
        return connection.get();
      }
      idle = connection.get();
    }
    if (idle == nullptr) {
      idle = connections
                 .emplace_back(std::make_unique<PipelinedConnection>(
                     base_, plan_.entries[entry],
                     std::chrono::milliseconds(plan_.hang_timeout_ms)))
                 .get();
    }
    return idle;
  }

  void SendPipelined(Call* call) {
    std::string request = fmt::format(
        "GET {} HTTP/1.1\r\nHost: {}\r\nx-request-id: {}\r\n", plan_.path,
        plan_.entries[call->entry].ToString(), call->id);
    for (const auto& [name, value] : plan_.headers) {
      request += fmt::format("{}: {}\r\n", name, value);
    }
    TakePipeline(call->entry)
        ->Send(request + "\r\n",
               [this, call](const PipelinedConnection::Response& response) {
                 HandlePipelined(response, call);
               });
  }

  void HandlePipelined(const PipelinedConnection::Response& response,
                       Call* call) {
    if (response.is_behind_close) {
      // The call has not run. The next tick sends it on another connection.
      behind_close_.push_back(call);
      return;
    }
    if (call->counted) {
      RecordResult({response.status, response.Header("x-reason"),
                    response.Header("x-outcome"), response.body},
                   *call);
    }
    --open_calls_;
    delete call;
  }

  evhttp_connection* TakeConnection(size_t entry) {
    if (!idle_[entry].empty()) {
      evhttp_connection* connection = idle_[entry].back();
      idle_[entry].pop_back();
      return connection;
    }
    const HostPort& server = plan_.entries[entry];
    evhttp_connection* connection = evhttp_connection_base_new(
        base_, nullptr, server.address.c_str(), server.port);
    const timeval timeout =
        ToTimeval(std::chrono::milliseconds(plan_.hang_timeout_ms));
    evhttp_connection_set_timeout_tv(connection, &timeout);
    return connection;
  }

  void Send(Call* call,
            evhttp_cmd_type method,
            const std::string& path,
            const std::string& key) {
    evhttp_request* request = evhttp_request_new(&Impl::OnResponse, call);
    evkeyvalq* headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Host",
                      plan_.entries[call->entry].ToString().c_str());
    evhttp_add_header(headers, "x-request-id", call->id.c_str());
    if (!key.empty()) {
      evhttp_add_header(headers, "idempotency-key", key.c_str());
    }
    for (const auto& [name, value] : plan_.headers) {
      evhttp_add_header(headers, name.c_str(), value.c_str());
    }
    evhttp_make_request(call->connection, request, method, path.c_str());
  }

  static void OnResponse(evhttp_request* request, void* context) {
    auto* call = static_cast<Call*>(context);
    call->generator->HandleResponse(request, call);
  }

  void HandleResponse(evhttp_request* request, Call* call) {
    const int status =
        request == nullptr ? 0 : evhttp_request_get_response_code(request);
    if (call->fetching_one_time_key && status == kHttpOk) {
      call->fetching_one_time_key = false;
      call->sent = SteadyClock::now();
      call->key = ParseOneTimeKey(BodyOf(request));
      Send(call, EVHTTP_REQ_GET, plan_.path, call->key);
      return;
    }
    if (plan_.resend_to_next_entry && !call->resent && status != kHttpOk) {
      call->first_failure_reason =
          status == 0 ? "no answer" : HeaderOf(request, "x-reason");
      ResendToNextEntry(call, status != 0);
      return;
    }
    if (call->counted) {
      RecordResult(
          status == 0 ? Answer{}
                      : Answer{status, HeaderOf(request, "x-reason"),
                               HeaderOf(request, "x-outcome"), BodyOf(request)},
          *call);
    }
    FinishCall(call, status != 0);
  }

  // Sends the same key again, so that a one-time call cannot run twice.
  void ResendToNextEntry(Call* call, bool reusable) {
    call->resent = true;
    ++result_.resent_calls;
    ReleaseConnection(call, reusable);
    call->entry = (call->entry + 1) % plan_.entries.size();
    call->connection = TakeConnection(call->entry);
    if (call->fetching_one_time_key) {
      Send(call, EVHTTP_REQ_POST, "/-/keys", {});
    } else {
      Send(call, EVHTTP_REQ_GET, plan_.path, call->key);
    }
  }

  // Extracts the key from a body {"key":"...","expires_ms":...}. Keys contain
  // no character that JSON escapes.
  static std::string ParseOneTimeKey(const std::string& body) {
    constexpr std::string_view kName = "\"key\":\"";
    const size_t begin = body.find(kName);
    if (begin == std::string::npos) {
      return {};
    }
    const size_t end = body.find('"', begin + kName.size());
    return body.substr(begin + kName.size(), end - begin - kName.size());
  }

  void RecordResult(const Answer& answer, const Call& call) {
    const double seconds = Seconds(SteadyClock::now() - call.sent);
    if (answer.status == 0) {
      const bool hung = seconds * 1000 >= plan_.hang_timeout_ms;
      ++(hung ? result_.hung : result_.no_response);
      if (call.resent) {
        ++result_.refused[fmt::format("no answer after {} at the first entry",
                                      call.first_failure_reason)];
      }
      return;
    }
    if (answer.status != kHttpOk) {
      ++result_.refused[fmt::format("{} {}", answer.status, answer.reason)];
      if (answer.outcome == "not-run") {
        result_.not_run_ids.push_back(call.id);
      }
      return;
    }
    // The quotes around the id keep "run-1" from matching the response to
    // "run-12".
    if (answer.body.find("\"" + call.id + "\"") == std::string::npos) {
      ++result_.wrong_response;
      return;
    }
    ++result_.done;
    result_.done_ids.push_back(call.id);
    result_.latency_ms.push_back(static_cast<float>(seconds * 1000));
  }

  void FinishCall(Call* call, bool reusable) {
    --open_calls_;
    ReleaseConnection(call, reusable);
    delete call;
  }

  void ReleaseConnection(Call* call, bool reusable) {
    if (reusable && idle_[call->entry].size() < kMaxIdlePerEntry) {
      idle_[call->entry].push_back(call->connection);
      return;
    }
    // A connection must not be freed within its own callback.
    retired_connections_.push_back(call->connection);
    if (retired_connections_.size() == 1) {
      const timeval now{0, 0};
      event_base_once(base_, -1, EV_TIMEOUT, &Impl::FreeRetiredConnections,
                      this, &now);
    }
  }

  static void FreeRetiredConnections(int /*fd*/, short /*what*/, void* self) {
    auto* generator = static_cast<Impl*>(self);
    for (evhttp_connection* connection :
         std::exchange(generator->retired_connections_, {})) {
      evhttp_connection_free(connection);
    }
  }

  const LoadPlan plan_;
  event_base* const base_;
  std::vector<std::vector<evhttp_connection*>> idle_;
  std::vector<evhttp_connection*> retired_connections_;
  // Used instead of idle_ if calls are pipelined.
  std::vector<std::vector<std::unique_ptr<PipelinedConnection>>> pipelines_;
  std::vector<Call*> behind_close_;
  SteadyClock::time_point start_;
  std::atomic<bool> stop_{false};
  bool sending_finished_ = false;
  double sending_seconds_ = 0;
  uint64_t next_call_ = 0;
  uint64_t open_calls_ = 0;
  LoadResult result_;
};

LoadGenerator::LoadGenerator(LoadPlan plan)
    : impl_(std::make_unique<Impl>(std::move(plan))) {}

LoadGenerator::~LoadGenerator() = default;

LoadResult LoadGenerator::Run() {
  return impl_->Run();
}

void LoadGenerator::StopSending() {
  impl_->StopSending();
}

}  // namespace dragonflytack
