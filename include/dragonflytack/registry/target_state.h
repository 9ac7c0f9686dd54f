#ifndef DRAGONFLYTACK_REGISTRY_TARGET_STATE_H_
#define DRAGONFLYTACK_REGISTRY_TARGET_STATE_H_

namespace dragonflytack {

// Where the target beside a node is in its life. Calls are routed to kWarming
// and kReady only.
enum class TargetState { kStarting, kWarming, kReady, kDraining, kLeft };

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_REGISTRY_TARGET_STATE_H_
