#include "store/store_response_checker.h"

#include <utility>

#include <fmt/format.h>

#include "dragonflytack/base/logger.h"

namespace dragonflytack {

StoreResponseChecker::StoreResponseChecker(const HostPort& store,
                                           size_t max_response_bytes,
                                           Logger* logger)
    : store_(store), max_response_bytes_(max_response_bytes), logger_(logger) {}

Failure StoreResponseChecker::Failed(FailureCode code,
                                     const std::string& key,
                                     std::string detail) const {
  logger_->Log(LogLevel::kDebug, "store_call_failed",
               {{"key", key},
                {"code", std::string(FailureCodeName(code))},
                {"detail", detail}});
  return Failure{code, fmt::format("{} at {}", key, store_.ToString()),
                 std::move(detail)};
}

std::optional<Failure> StoreResponseChecker::FindLoss(
    const HttpResponse& response,
    const std::string& key) const {
  switch (response.end) {
    case HttpOutcome::kNotSent:
      return Failed(FailureCode::kStoreUnreachable, key,
                    "no connection to the store was made");
    case HttpOutcome::kTimeout:
      return Failed(FailureCode::kStoreTimeout, key,
                    "the store did not answer in time");
    case HttpOutcome::kLost:
      return Failed(FailureCode::kStoreTimeout, key,
                    "the connection closed before the whole answer");
    case HttpOutcome::kTooLarge:
      return Failed(FailureCode::kStoreTimeout, key,
                    fmt::format("the answer has more than {} bytes",
                                max_response_bytes_));
    case HttpOutcome::kCompleted:
      break;
  }
  return std::nullopt;
}

void StoreResponseChecker::GiveVersion(
    const Failure& verdict,
    std::optional<StoreVersion> version,
    const std::string& key,
    const StoreClient::VersionCallback& callback) const {
  if (verdict.code != FailureCode::kNone) {
    callback(std::nullopt, verdict);
  } else if (!version) {
    callback(std::nullopt, Failed(FailureCode::kStoreTimeout, key,
                                  "the answer has no valid version"));
  } else {
    callback(version, Failure{});
  }
}

}  // namespace dragonflytack
