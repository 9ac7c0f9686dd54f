#ifndef DRAGONFLYTACK_DISTRIBUTION_LINK_ID_H_
#define DRAGONFLYTACK_DISTRIBUTION_LINK_ID_H_

#include <cstdint>

namespace dragonflytack {

// Names one connection to a peer for as long as the process runs; never used
// again.
using LinkId = uint64_t;

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_DISTRIBUTION_LINK_ID_H_
