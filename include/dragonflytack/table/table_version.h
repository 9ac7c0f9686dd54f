#ifndef DRAGONFLYTACK_TABLE_TABLE_VERSION_H_
#define DRAGONFLYTACK_TABLE_TABLE_VERSION_H_

#include <cstdint>

namespace dragonflytack {

// The store's version of the object "table". 0 means that there is no table
// yet. Only the store makes versions, and they only rise.
using TableVersion = uint64_t;

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_TABLE_TABLE_VERSION_H_
