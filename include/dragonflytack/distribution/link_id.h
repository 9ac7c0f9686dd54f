#ifndef DRAGONFLYTACK_DISTRIBUTION_LINK_ID_H_
#define DRAGONFLYTACK_DISTRIBUTION_LINK_ID_H_

#include <cstdint>

namespace dragonflytack {

// Identifies one connection to a peer. Never reused during the lifetime of the
// process.
using LinkId = uint64_t;

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_DISTRIBUTION_LINK_ID_H_
