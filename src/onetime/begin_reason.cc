#include "onetime/begin_reason.h"

#include <array>
#include <utility>

namespace dragonflytack {

std::string_view BeginReasonName(BeginReason reason) {
  static constexpr std::array<std::pair<BeginReason, std::string_view>, 9>
      kNames = {{{BeginReason::kNone, "none"},
                 {BeginReason::kExpired, "expired"},
                 {BeginReason::kOwnerGone, "home_gone"},
                 {BeginReason::kKeyReused, "key_reused"},
                 {BeginReason::kRecordsFull, "records_full"},
                 {BeginReason::kDraining, "draining"},
                 {BeginReason::kResponseNotKept, "answer_not_kept"},
                 {BeginReason::kResponseLost, "answer_lost"},
                 {BeginReason::kRefusedByTargets, "refused_by_targets"}}};
  for (const auto& [value, name] : kNames) {
    if (value == reason) {
      return name;
    }
  }
  return "none";
}

}  // namespace dragonflytack
