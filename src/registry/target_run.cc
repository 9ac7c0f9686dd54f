#include "dragonflytack/registry/target_run.h"

#include <algorithm>

#include "dragonflytack/base/hash.h"

namespace dragonflytack {

TargetRun TargetRun::Make(std::string_view instance, int64_t started_ms) {
  if (instance.empty()) {
    return {};
  }
  constexpr int kDroppedBits = 12;
  return {std::max<uint64_t>(Hash64(instance) >> kDroppedBits, 1),
          std::clamp<int64_t>(started_ms, 0, kMaxNumber)};
}

}  // namespace dragonflytack
