#include "store/store_answers.h"

#include <utility>

#include <fmt/format.h>

#include "dragonflytack/base/logger.h"

namespace dragonflytack {

StoreAnswers::StoreAnswers(const HostPort& store,
                           size_t max_answer_bytes,
                           Logger* logger)
    : store_(store), max_answer_bytes_(max_answer_bytes), logger_(logger) {}

Failure StoreAnswers::Failed(FailureCode code,
                             const std::string& key,
                             std::string detail) const {
  logger_->Log(LogLevel::kDebug, "store_call_failed",
               {{"key", key},
                {"code", std::string(FailureCodeName(code))},
                {"detail", detail}});
  return Failure{code, fmt::format("{} at {}", key, store_.ToString()),
                 std::move(detail)};
}

std::optional<Failure> StoreAnswers::FindLoss(const HttpAnswer& answer,
                                              const std::string& key) const {
  switch (answer.end) {
    case HttpEnd::kNotSent:
      return Failed(FailureCode::kStoreUnreachable, key,
                    "no connection to the store was made");
    case HttpEnd::kTimeout:
      return Failed(FailureCode::kStoreTimeout, key,
                    "the store did not answer in time");
    case HttpEnd::kLost:
      return Failed(FailureCode::kStoreTimeout, key,
                    "the connection closed before the whole answer");
    case HttpEnd::kTooLarge:
      return Failed(
          FailureCode::kStoreTimeout, key,
          fmt::format("the answer has more than {} bytes", max_answer_bytes_));
    case HttpEnd::kAnswered:
      break;
  }
  return std::nullopt;
}

void StoreAnswers::GiveVersion(
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
