#include "dragonflytack/routing/target_load.h"

#include <algorithm>

#include <fmt/format.h>

namespace dragonflytack {

TargetLoad TargetLoad::FromShare(double share) {
  return TargetLoad(static_cast<int>(std::clamp(share, 0.0, 1.0) * kShareSlots),
                    0, kShareSlots);
}

std::string TargetLoad::ToHeader() const {
  if (*this == TargetLoad(running_, 0, kShareSlots)) {
    return fmt::format("{}", running_);
  }
  return fmt::format("{},{},{},{}", running_, waiting_, slots_,
                     work_time_percent_);
}

}  // namespace dragonflytack
