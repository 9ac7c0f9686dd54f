#ifndef DRAGONFLYTACK_SRC_DISTRIBUTION_STORE_WATCH_STATE_H_
#define DRAGONFLYTACK_SRC_DISTRIBUTION_STORE_WATCH_STATE_H_

#include <cstdint>

namespace dragonflytack {

// What a node reports to its peers of its watch of the store. The values are
// part of the protocol between nodes.
enum class StoreWatchState : uint8_t {
  // A designated watcher whose watch did not fail, or a node that need not
  // watch. It is not sent, so nodes that lack the field count so.
  kDefault = 0,
  // A standby watcher that the store serves.
  kServedStandby = 1,
  // The store does not serve the watch.
  kFailing = 2,
};

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_SRC_DISTRIBUTION_STORE_WATCH_STATE_H_
