#include "dragonflytack/base/failure.h"

#include <array>

#include <fmt/format.h>

namespace dragonflytack {

namespace {

constexpr std::array<std::string_view, 28> kNames = {
    "none",
    "invalid_argument",
    "invalid_setting",
    "invalid_table",
    "invalid_csv",
    "invalid_message",
    "invalid_key",
    "invalid_chart",
    "too_large",
    "not_found",
    "conflict",
    "version_regressed",
    "store_unreachable",
    "store_timeout",
    "store_rejected",
    "peer_unreachable",
    "peer_rejected",
    "authentication",
    "address_in_use",
    "overloaded",
    "deadline_exceeded",
    "cancelled",
    "no_target",
    "upstream_failed",
    "draining",
    "expired",
    "outcome_unknown",
    "internal",
};
static_assert(kNames.size() == static_cast<size_t>(FailureCode::kInternal) + 1);

}  // namespace

std::string_view FailureCodeName(FailureCode code) {
  return kNames[static_cast<size_t>(code)];
}

std::string Failure::ToString() const {
  return fmt::format("{}: {}: {}", FailureCodeName(code), subject, detail);
}

}  // namespace dragonflytack
