#ifndef DRAGONFLYTACK_ONETIME_ATTEMPT_ID_H_
#define DRAGONFLYTACK_ONETIME_ATTEMPT_ID_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "dragonflytack/registry/node_id.h"

namespace dragonflytack {

// Identifies one dispatch of a one-time call to the node beside a target. The
// dispatching process numbers its dispatches to each target process from 1.
struct AttemptId final {
  NodeId dispatcher;
  uint64_t incarnation = 0;
  // The process beside the target that the dispatch is addressed to. After a
  // restart it has no state of earlier attempts and must not start them.
  uint64_t target_incarnation = 0;
  uint64_t sequence = 0;

  // "<dispatcher>.<incarnation>.<target incarnation>.<sequence>", as in the
  // header x-attempt-id.
  std::string ToText() const;
  static std::optional<AttemptId> Parse(std::string_view text);

  friend auto operator<=>(const AttemptId&, const AttemptId&) = default;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_ONETIME_ATTEMPT_ID_H_
