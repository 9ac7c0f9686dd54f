#ifndef DRAGONFLYTACK_SRC_ROLLOUT_ROLLOUT_STATE_H_
#define DRAGONFLYTACK_SRC_ROLLOUT_ROLLOUT_STATE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "dragonflytack/store/rollout_orders.h"

namespace dragonflytack {

// The state of a roll-out as the controllers keep it in the store. The version
// of its object is the epoch of the share.
struct RolloutState final {
  std::string release;
  // In thousandths.
  int share = 0;
  RolloutProgress progress = RolloutProgress::kNone;
  // Whether the share is no longer in force, after `completed`.
  bool lifted = false;
  // Wall time in milliseconds at which a controller first saw the order.
  int64_t started_ms = 0;

  static std::string KeyOf(const std::string& service) {
    return "rollout-state/" + service;
  }
  std::string ToJson() const;
  // Returns std::nullopt if the text is malformed.
  static std::optional<RolloutState> FromJson(const std::string& text);

  friend bool operator==(const RolloutState&, const RolloutState&) = default;
};

std::string_view RolloutProgressName(RolloutProgress progress);

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_ROLLOUT_ROLLOUT_STATE_H_
