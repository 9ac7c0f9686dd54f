#include "store/http_store_client.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "dragonflytack/base/event_loop.h"
#include "dragonflytack/base/logger.h"
#include "net/http_connection.h"
#include "store/http_pool.h"
#include "store/store_protocol.h"
#include "store/watch_timing.h"

namespace dragonflytack {

namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kConditionFailed = 412;
constexpr int kPayloadTooLarge = 413;
constexpr int kServiceUnavailable = 503;

std::optional<StoreVersion> ReadVersionHeader(const HttpResponse& response) {
  const auto found = response.headers.find(StoreProtocol::kVersionHeader);
  if (found == response.headers.end()) {
    return std::nullopt;
  }
  return StoreProtocol::ParseVersion(found->second);
}

// Returns true if the status guarantees that the store changed nothing.
bool IsRejection(int status) {
  return (status >= 400 && status < 500) || status == kServiceUnavailable;
}

}  // namespace

std::unique_ptr<HttpStoreClient> HttpStoreClient::Make(EventLoop* loop,
                                                       const HostPort& store,
                                                       Milliseconds timeout,
                                                       Logger* logger) {
  if (store.port == 0 || store.address.empty() ||
      timeout <= Milliseconds::zero()) {
    return nullptr;
  }
  return std::unique_ptr<HttpStoreClient>(
      new HttpStoreClient(loop, store, timeout, logger));
}

HttpStoreClient::HttpStoreClient(EventLoop* loop,
                                 const HostPort& store,
                                 Milliseconds timeout,
                                 Logger* logger)
    : loop_(loop),
      timeout_(timeout),
      responses_(store, StoreProtocol::kMaxResponseBytes, logger),
      request_pool_(
          std::make_unique<HttpPool>(loop,
                                     store,
                                     kMaxConnections,
                                     StoreProtocol::kMaxResponseBytes)),
      watch_pool_(
          std::make_unique<HttpPool>(loop,
                                     store,
                                     kMaxWatches,
                                     StoreProtocol::kMaxResponseBytes)) {}

HttpStoreClient::~HttpStoreClient() = default;

void HttpStoreClient::Send(HttpPool* pool,
                           HttpRequest request,
                           Milliseconds timeout,
                           ResponseCallback callback) {
  pool->Send(
      std::move(request), timeout,
      [this, callback = std::move(callback)](HttpResponse response) {
        if (response.outcome == HttpOutcome::kTimeout) {
          request_pool_->CloseIdle();
          watch_pool_->CloseIdle();
        }
        const auto found = response.headers.find(StoreProtocol::kEraHeader);
        if (response.outcome == HttpOutcome::kCompleted &&
            found != response.headers.end()) {
          // Responses on several connections may overtake each other.
          era_ = std::max(era_, StoreProtocol::ParseVersion(found->second));
        }
        callback(std::move(response));
      });
}

std::map<std::string, std::string> HttpStoreClient::EraHeaders() const {
  if (!era_) {
    return {};
  }
  return {{StoreProtocol::kEraConditionHeader, std::to_string(*era_)}};
}

std::map<std::string, std::string> HttpStoreClient::WriteHeaders(
    StoreVersion if_version) const {
  std::map<std::string, std::string> headers = EraHeaders();
  headers[StoreProtocol::kConditionHeader] = std::to_string(if_version);
  return headers;
}

Failure HttpStoreClient::CheckResponse(const HttpResponse& response,
                                       const std::string& key) const {
  if (std::optional<Failure> transport_failure =
          responses_.FindTransportFailure(response, key)) {
    return *std::move(transport_failure);
  }
  if (response.status == kOk) {
    return Failure{};
  }
  if (response.status == kConditionFailed) {
    return responses_.LogFailure(
        FailureCode::kConflict, key,
        fmt::format("the object is at version {}",
                    ReadVersionHeader(response).value_or(0)));
  }
  if (response.status == kPayloadTooLarge) {
    return responses_.LogFailure(FailureCode::kTooLarge, key,
                                 "the store rejected the object as too large");
  }
  // Any other status does not show whether a write took effect.
  return responses_.LogFailure(
      IsRejection(response.status) ? FailureCode::kStoreRejected
                                   : FailureCode::kStoreTimeout,
      key, fmt::format("the store responded with status {}", response.status));
}

void HttpStoreClient::HandleVersionResponse(
    const HttpResponse& response,
    const std::string& key,
    const VersionCallback& callback) const {
  responses_.ReportVersion(CheckResponse(response, key),
                           ReadVersionHeader(response), key, callback);
}

void HttpStoreClient::RejectLater(std::function<void()> report) {
  loop_->timers().SubscribeOnce(
      Milliseconds(0),
      [alive = std::weak_ptr<int>(alive_), report = std::move(report)] {
        if (!alive.expired()) {
          report();
        }
      });
}

void HttpStoreClient::Get(const std::string& key, ObjectCallback callback) {
  if (!StoreProtocol::IsKey(key)) {
    RejectLater([key, callback = std::move(callback)] {
      callback(std::nullopt, Failure{FailureCode::kStoreRejected, key,
                                     "the key is not valid"});
    });
    return;
  }
  Send(request_pool_.get(),
       HttpRequest{.target = StoreProtocol::kObjectsPath + key}, timeout_,
       [this, key, callback = std::move(callback)](HttpResponse response) {
         if (response.outcome == HttpOutcome::kCompleted &&
             response.status == kNotFound) {
           callback(StoreObject{key, {}, 0}, Failure{});
           return;
         }
         // The body is moved out first because the callback may destroy the
         // client.
         std::string body = std::move(response.body);
         HandleVersionResponse(
             response, key,
             [&](std::optional<StoreVersion> version, const Failure& reason) {
               if (!version || *version == 0) {
                 callback(std::nullopt,
                          version ? Failure{FailureCode::kStoreTimeout, key,
                                            "the response has version 0"}
                                  : reason);
                 return;
               }
               callback(StoreObject{key, std::move(body), *version}, Failure{});
             });
       });
}

void HttpStoreClient::Put(const std::string& key,
                          const std::string& value,
                          StoreVersion if_version,
                          VersionCallback callback) {
  if (!StoreProtocol::IsKey(key) ||
      value.size() > StoreProtocol::kMaxValueBytes) {
    const bool large = value.size() > StoreProtocol::kMaxValueBytes;
    RejectLater([key, large, callback = std::move(callback)] {
      callback(
          std::nullopt,
          Failure{large ? FailureCode::kTooLarge : FailureCode::kStoreRejected,
                  key,
                  large ? "the value has more than 1000000 bytes"
                        : "the key is not valid"});
    });
    return;
  }
  Send(request_pool_.get(),
       HttpRequest{.method = "PUT",
                   .target = StoreProtocol::kObjectsPath + key,
                   .headers = WriteHeaders(if_version),
                   .body = value},
       timeout_,
       [this, key, callback = std::move(callback)](HttpResponse response) {
         HandleVersionResponse(response, key, callback);
       });
}

void HttpStoreClient::Delete(const std::string& key,
                             StoreVersion if_version,
                             VersionCallback callback) {
  if (!StoreProtocol::IsKey(key)) {
    RejectLater([key, callback = std::move(callback)] {
      callback(std::nullopt, Failure{FailureCode::kStoreRejected, key,
                                     "the key is not valid"});
    });
    return;
  }
  Send(request_pool_.get(),
       HttpRequest{.method = "DELETE",
                   .target = StoreProtocol::kObjectsPath + key,
                   .headers = WriteHeaders(if_version)},
       timeout_,
       [this, key, callback = std::move(callback)](HttpResponse response) {
         HandleVersionResponse(response, key, callback);
       });
}

void HttpStoreClient::Watch(const std::string& key,
                            StoreVersion after,
                            Milliseconds timeout,
                            VersionCallback callback) {
  if (!StoreProtocol::IsKey(key)) {
    RejectLater([key, callback = std::move(callback)] {
      callback(std::nullopt, Failure{FailureCode::kStoreRejected, key,
                                     "the key is not valid"});
    });
    return;
  }
  WatchUntil(key, after, loop_->clock().Now() + timeout, std::move(callback));
}

void HttpStoreClient::WatchUntil(const std::string& key,
                                 StoreVersion after,
                                 TimePoint end,
                                 VersionCallback callback) {
  const Milliseconds wait =
      std::clamp(std::chrono::ceil<Milliseconds>(end - loop_->clock().Now()),
                 Milliseconds(0), WatchTiming::kMaxWait);
  Send(watch_pool_.get(),
       HttpRequest{.target = fmt::format("{}{}?after={}&timeout_ms={}",
                                         StoreProtocol::kWatchPath, key, after,
                                         wait.count()),
                   .headers = EraHeaders()},
       WatchTiming::Timeout(wait, timeout_),
       [this, key, after, end, wait, sent_at = loop_->clock().Now(),
        callback = std::move(callback)](HttpResponse response) {
         const TimePoint now = loop_->clock().Now();
         // A store that answers earlier has another reason, such as a new era.
         const bool has_waited = now - sent_at >= wait;
         if (has_waited && now < end &&
             response.outcome == HttpOutcome::kCompleted &&
             response.status == kOk && ReadVersionHeader(response) == after) {
           WatchUntil(key, after, end, callback);
           return;
         }
         HandleVersionResponse(response, key, callback);
       });
}

void HttpStoreClient::List(const std::string& prefix,
                           const std::string& start_after,
                           int limit,
                           ListCallback callback) {
  if ((!prefix.empty() && !StoreProtocol::IsKey(prefix)) ||
      (!start_after.empty() && !StoreProtocol::IsKey(start_after)) ||
      limit < 1) {
    RejectLater([prefix, callback = std::move(callback)] {
      callback(std::nullopt, Failure{FailureCode::kStoreRejected, prefix,
                                     "the prefix, the start key or the limit "
                                     "of the list is not valid"});
    });
    return;
  }
  ListPage(prefix, start_after, limit, {}, std::move(callback));
}

void HttpStoreClient::ListPage(const std::string& prefix,
                               const std::string& start_after,
                               int limit,
                               std::vector<StoreObject> found,
                               ListCallback callback) {
  const int page_limit = std::min(limit - static_cast<int>(found.size()),
                                  StoreProtocol::kMaxListLimit);
  // Valid keys contain no character that must be escaped in a query.
  HttpRequest request{.target =
                          fmt::format("{}?prefix={}&start_after={}&limit={}",
                                      StoreProtocol::kListPath, prefix,
                                      start_after, page_limit)};
  Send(
      request_pool_.get(), std::move(request), timeout_,
      [this, prefix, start_after, limit, found = std::move(found),
       callback = std::move(callback)](HttpResponse response) mutable {
        const Failure failure = CheckResponse(response, prefix);
        if (failure.code != FailureCode::kNone) {
          callback(std::nullopt, failure);
          return;
        }
        std::optional<std::vector<StoreObject>> page =
            StoreProtocol::DecodeObjects(response.body);
        const auto more = response.headers.find(StoreProtocol::kMoreHeader);
        // Without this check, an empty page that announces more objects would
        // be requested again without end.
        if (!page || more == response.headers.end() ||
            (more->second == "1" && page->empty())) {
          callback(std::nullopt,
                   Failure{FailureCode::kStoreTimeout, prefix,
                           "the response is not a valid list of objects"});
          return;
        }
        std::move(page->begin(), page->end(), std::back_inserter(found));
        if (more->second != "1" || found.size() >= static_cast<size_t>(limit)) {
          callback(std::move(found), Failure{});
          return;
        }
        const std::string last = found.back().key;
        ListPage(prefix, last, limit, std::move(found), std::move(callback));
      });
}

}  // namespace dragonflytack
