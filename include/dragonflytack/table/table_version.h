#ifndef DRAGONFLYTACK_TABLE_TABLE_VERSION_H_
#define DRAGONFLYTACK_TABLE_TABLE_VERSION_H_

#include <cstdint>

namespace dragonflytack {

// Version of the store object "table", 0 if there is no table yet. Versions are
// assigned by the store only, and each is higher than the one before.
using TableVersion = uint64_t;

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_TABLE_TABLE_VERSION_H_
