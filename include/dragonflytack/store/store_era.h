#ifndef DRAGONFLYTACK_STORE_STORE_ERA_H_
#define DRAGONFLYTACK_STORE_STORE_ERA_H_

#include <cstdint>

#include "dragonflytack/store/store_object.h"

namespace dragonflytack {

// A store that follows docs/store-protocol.md begins a new era when it returns
// from an older copy, and assigns numbers of the range of its era.
constexpr int kEraShift = 40;

// Returns the era in which the store assigned `version`.
constexpr uint64_t EraOf(StoreVersion version) {
  return version >> kEraShift;
}

// Returns the first number that the store may assign in `era`.
constexpr StoreVersion FirstVersionOf(uint64_t era) {
  return era == 0 ? 1 : era << kEraShift;
}

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_STORE_STORE_ERA_H_
