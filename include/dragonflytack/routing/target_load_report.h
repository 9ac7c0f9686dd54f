#ifndef DRAGONFLYTACK_ROUTING_TARGET_LOAD_REPORT_H_
#define DRAGONFLYTACK_ROUTING_TARGET_LOAD_REPORT_H_

#include <optional>
#include <string_view>

#include "dragonflytack/routing/target_load.h"

namespace dragonflytack {

// The contents of a header with a load report. Without a report both members
// are empty.
struct TargetLoadReport final {
  std::optional<TargetLoad> load;
  // Why the report is not valid, as a static text for logs.
  std::string_view error;

  // Parses "running,waiting,slots" or "running,waiting,slots,work time". Spaces
  // around figures, a work time with decimals and further figures, which are
  // ignored, are accepted.
  static TargetLoadReport ParseFigures(std::string_view text);

  // Parses a share of the capacity, 0 to 1.
  static TargetLoadReport ParseShare(std::string_view text);

  // Parses x-load between nodes, see TargetLoad::ToHeader().
  static TargetLoadReport ParseHeader(std::string_view text);

  friend bool operator==(const TargetLoadReport&,
                         const TargetLoadReport&) = default;
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_ROUTING_TARGET_LOAD_REPORT_H_
