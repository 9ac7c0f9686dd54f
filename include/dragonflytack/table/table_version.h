#ifndef DRAGONFLYTACK_TABLE_TABLE_VERSION_H_
#define DRAGONFLYTACK_TABLE_TABLE_VERSION_H_

#include <cstdint>

namespace dragonflytack {

// Version of the store object "table", 0 if there is no table yet. The store
// or, on a platform, the operator assigns it. A later table has a higher
// version, and a version never identifies two contents.
using TableVersion = uint64_t;

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_TABLE_TABLE_VERSION_H_
