#include "soak_driver/caller_pool.h"

#include <algorithm>
#include <utility>

#include <event2/buffer.h>
#include <event2/http.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "calls/http_headers.h"
#include "dragonflytack/base/timeval.h"

namespace dragonflytack {

namespace {

constexpr int kMinThinkMs = 20;
constexpr int kThinkRangeMs = 200;
constexpr Milliseconds kPublishPeriod{50};
constexpr char kIdempotentPath[] = "/roster/soak";
constexpr char kOneTimePath[] = "/booking/soak";
constexpr char kKeyPath[] = "/-/keys";
constexpr int kMaxRepeats = 3;
// One in this many calls that are done.
constexpr int kRepeatedDone = 6;

enum class CallKind { kIdempotent, kIssuedKey, kOwnKey, kNoKey };

// Shares of the kinds of calls in tenths. Calls with keys that callers choose
// need a write to the store, whose rate is limited.
constexpr CallKind kKinds[] = {CallKind::kIdempotent, CallKind::kIdempotent,
                               CallKind::kIdempotent, CallKind::kIdempotent,
                               CallKind::kIssuedKey,  CallKind::kIssuedKey,
                               CallKind::kIssuedKey,  CallKind::kIssuedKey,
                               CallKind::kNoKey,      CallKind::kOwnKey};

// Shares of the API keys in tenths.
constexpr ApiKey kApiKeys[] = {
    ApiKey::kValid,   ApiKey::kValid, ApiKey::kValid, ApiKey::kValid,
    ApiKey::kValid,   ApiKey::kValid, ApiKey::kValid, ApiKey::kRevoked,
    ApiKey::kRevoked, ApiKey::kNone};

std::string BodyOf(evhttp_request* request) {
  evbuffer* buffer = evhttp_request_get_input_buffer(request);
  std::string body(evbuffer_get_length(buffer), '\0');
  evbuffer_copyout(buffer, body.data(), body.size());
  return body;
}

}  // namespace

class CallerPool::Caller final {
 public:
  Caller(CallerPool* pool, const HostPort& server, int entry)
      : pool_(pool), server_(server), entry_(entry) {
    Pause();
  }

  ~Caller() {
    pool_->loop_->timers().Cancel(timer_);
    if (connection_ != nullptr) {
      evhttp_connection_free(connection_);
    }
  }

  Caller(const Caller&) = delete;
  Caller& operator=(const Caller&) = delete;

  bool calling() const { return calling_; }
  SoakTime sent() const { return record_.sent; }

 private:
  void Pause() {
    timer_ = pool_->loop_->timers().SubscribeOnce(
        Milliseconds(kMinThinkMs + pool_->random_.Below(kThinkRangeMs)),
        [this] { StartCall(); });
  }

  void StartCall() {
    timer_ = 0;
    if (pool_->finishing_) {
      return;
    }
    if (broken_ && connection_ != nullptr) {
      evhttp_connection_free(std::exchange(connection_, nullptr));
    }
    broken_ = false;
    const std::string key = std::exchange(issued_key_, {});
    if (!key.empty()) {
      Send({.key = key, .one_time = true});
      return;
    }
    std::deque<RepeatedKey>& repeated = pool_->repeated_keys_;
    if (!repeated.empty() && repeated.front().entry != entry_) {
      const RepeatedKey again = repeated.front();
      repeated.pop_front();
      Send({.key = again.key, .one_time = true, .presented = again.presented});
      return;
    }
    switch (kKinds[pool_->random_.Below(std::size(kKinds))]) {
      case CallKind::kIdempotent:
        Send({});
        break;
      case CallKind::kIssuedKey:
        Send({.key_fetch = true});
        break;
      case CallKind::kOwnKey:
        Send({.key = pool_->issued_keys_only_
                         ? std::string()
                         : fmt::format("soak-key-{}", pool_->next_id_),
              .one_time = true});
        break;
      case CallKind::kNoKey:
        Send({.one_time = true});
        break;
    }
  }

  void Send(CallRecord record) {
    if (connection_ == nullptr) {
      connection_ = evhttp_connection_base_new(
          pool_->loop_->base(), nullptr, server_.address.c_str(), server_.port);
      const timeval timeout = ToTimeval(Milliseconds(kResponseTimeoutMs));
      evhttp_connection_set_timeout_tv(connection_, &timeout);
    }
    record_ = std::move(record);
    record_.id = fmt::format("soak-{}", pool_->next_id_++);
    record_.entry = entry_;
    record_.sent = std::chrono::steady_clock::now();
    evhttp_request* request = evhttp_request_new(&Caller::OnResponse, this);
    evkeyvalq* headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Host", server_.ToString().c_str());
    evhttp_add_header(headers, "x-request-id", record_.id.c_str());
    if (pool_->accounts_) {
      record_.api_key = kApiKeys[pool_->random_.Below(std::size(kApiKeys))];
      if (record_.api_key != ApiKey::kNone) {
        evhttp_add_header(
            headers, "x-api-key",
            record_.api_key == ApiKey::kValid ? kValidApiKey : kRevokedApiKey);
      }
    }
    if (!record_.key.empty()) {
      pool_->key_of_id_[record_.id] = record_.key;
      evhttp_add_header(headers, kKeyHeader, record_.key.c_str());
    }
    const char* path = record_.key_fetch  ? kKeyPath
                       : record_.one_time ? kOneTimePath
                                          : kIdempotentPath;
    calling_ = true;
    evhttp_make_request(connection_, request,
                        record_.key_fetch ? EVHTTP_REQ_POST : EVHTTP_REQ_GET,
                        path);
  }

  static void OnResponse(evhttp_request* request, void* context) {
    static_cast<Caller*>(context)->HandleResponse(request);
  }

  void HandleResponse(evhttp_request* request) {
    calling_ = false;
    record_.ended = std::chrono::steady_clock::now();
    record_.status =
        request == nullptr ? 0 : evhttp_request_get_response_code(request);
    // A connection must not be freed within its own callback.
    broken_ = record_.status == 0;
    if (record_.status != 0) {
      const evkeyvalq* headers = evhttp_request_get_input_headers(request);
      record_.outcome = FindHeader(headers, kOutcomeHeader);
      record_.reason = FindHeader(headers, kReasonHeader);
      record_.scope = FindHeader(headers, kScopeHeader);
      const std::string body = BodyOf(request);
      const nlohmann::json json = nlohmann::json::parse(body, nullptr, false);
      if (record_.key_fetch && record_.status == 200 && json.is_object()) {
        issued_key_ = json.value("key", "");
      }
      // A repeated key gets the recorded response, which names the request that
      // ran.
      record_.own_response =
          json.is_object() &&
          (json.value("request_id", "") == record_.id ||
           pool_->HasKey(json.value("request_id", ""), record_.key));
    }
    pool_->Record(record_);
    Pause();
  }

  CallerPool* const pool_;
  const HostPort server_;
  const int entry_;
  evhttp_connection* connection_ = nullptr;
  bool broken_ = false;
  bool calling_ = false;
  CallRecord record_;
  std::string issued_key_;
  TimerId timer_ = 0;
};

CallerPool::CallerPool(const std::vector<HostPort>& entries,
                       int callers_per_entry,
                       uint64_t seed,
                       bool issued_keys_only,
                       bool accounts)
    : loop_(EventLoop::Make(&clock_)),
      random_(seed),
      issued_keys_only_(issued_keys_only),
      accounts_(accounts) {
  for (size_t entry = 0; entry < entries.size(); ++entry) {
    for (int i = 0; i < callers_per_entry; ++i) {
      callers_.push_back(std::make_unique<Caller>(this, entries[entry],
                                                  static_cast<int>(entry)));
    }
    pipelined_callers_.push_back(std::make_unique<PipelinedCaller>(
        loop_.get(), &random_,
        PipelinedCaller::Options{.server = entries[entry],
                                 .entry = static_cast<int>(entry),
                                 .timeout = Milliseconds(kResponseTimeoutMs),
                                 .accounts = accounts},
        [this] {
          return finishing_ ? std::string()
                            : fmt::format("soak-{}", next_id_++);
        },
        [this](const CallRecord& record) { Record(record); }));
  }
}

CallerPool::~CallerPool() {
  loop_->Stop();
  if (thread_.joinable()) {
    thread_.join();
  }
}

void CallerPool::Start() {
  Publish();
  loop_->timers().SubscribeEvery(kPublishPeriod, [this] { Publish(); });
  thread_ = std::thread([this] { loop_->Run(); });
}

void CallerPool::Finish() {
  finishing_ = true;
  thread_.join();
}

bool CallerPool::HasKey(const std::string& id, const std::string& key) const {
  const auto found = key_of_id_.find(id);
  return found != key_of_id_.end() && !key.empty() && found->second == key;
}

void CallerPool::Record(const CallRecord& record) {
  records_.push_back(record);
  if (!record.Succeeded() && record.presented == 0 && !record.is_behind_close) {
    last_failure_sent_ = std::max(last_failure_sent_.load(),
                                  record.sent.time_since_epoch().count());
  }
  // A key whose call is done is presented again at times, for the recorded
  // response.
  const bool again = !record.Succeeded() || random_.Below(kRepeatedDone) == 0;
  if (!record.key.empty() && again && record.presented < kMaxRepeats) {
    repeated_keys_.push_back({record.key, record.entry, record.presented + 1});
  }
}

void CallerPool::Publish() {
  SoakTime oldest = std::chrono::steady_clock::now();
  bool calling = false;
  for (const std::unique_ptr<Caller>& caller : callers_) {
    if (caller->calling()) {
      calling = true;
      oldest = std::min(oldest, caller->sent());
    }
  }
  for (const std::unique_ptr<PipelinedCaller>& caller : pipelined_callers_) {
    if (caller->calling()) {
      calling = true;
      oldest = std::min(oldest, caller->sent());
    }
  }
  oldest_unanswered_ = oldest.time_since_epoch().count();
  if (finishing_ && !calling) {
    loop_->Stop();
  }
}

}  // namespace dragonflytack
