#include "store/store_response_checker.h"

#include <utility>

#include <fmt/format.h>

#include "dragonflytack/base/logger.h"

namespace dragonflytack {

StoreResponseChecker::StoreResponseChecker(const HostPort& store,
                                           size_t max_response_bytes,
                                           Logger* logger)
    : store_(store), max_response_bytes_(max_response_bytes), logger_(logger) {}

Failure StoreResponseChecker::LogFailure(FailureCode code,
                                         const std::string& key,
                                         std::string detail) const {
  logger_->Log(LogLevel::kDebug, "store_call_failed",
               {{"key", key},
                {"code", std::string(FailureCodeName(code))},
                {"detail", detail}});
  return Failure{code, fmt::format("{} at {}", key, store_.ToString()),
                 std::move(detail)};
}

std::optional<Failure> StoreResponseChecker::FindTransportFailure(
    const HttpResponse& response,
    const std::string& key) const {
  switch (response.outcome) {
    case HttpOutcome::kNotSent:
      return LogFailure(FailureCode::kStoreUnreachable, key,
                        "no connection to the store was made");
    case HttpOutcome::kStaleConnection:
      return LogFailure(FailureCode::kStoreUnreachable, key,
                        "unexpected bytes arrived on the connection before the "
                        "request was sent");
    case HttpOutcome::kTimeout:
      return LogFailure(FailureCode::kStoreTimeout, key,
                        "the store did not answer in time");
    case HttpOutcome::kLost:
      return LogFailure(FailureCode::kStoreTimeout, key,
                        "the connection closed before the whole answer");
    case HttpOutcome::kTooLarge:
      return LogFailure(FailureCode::kStoreTimeout, key,
                        fmt::format("the response has more than {} bytes",
                                    max_response_bytes_));
    case HttpOutcome::kMalformed:
      return LogFailure(FailureCode::kStoreTimeout, key,
                        "the response is malformed, or its head or framing is "
                        "too long");
    case HttpOutcome::kCompleted:
      break;
  }
  return std::nullopt;
}

void StoreResponseChecker::ReportVersion(
    const Failure& failure,
    std::optional<StoreVersion> version,
    const std::string& key,
    const StoreClient::VersionCallback& callback) const {
  if (failure.code != FailureCode::kNone) {
    callback(std::nullopt, failure);
  } else if (!version) {
    callback(std::nullopt, LogFailure(FailureCode::kStoreTimeout, key,
                                      "the response has no valid version"));
  } else {
    callback(version, Failure{});
  }
}

}  // namespace dragonflytack
