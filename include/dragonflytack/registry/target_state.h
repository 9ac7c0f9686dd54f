#ifndef DRAGONFLYTACK_REGISTRY_TARGET_STATE_H_
#define DRAGONFLYTACK_REGISTRY_TARGET_STATE_H_

namespace dragonflytack {

// Lifecycle state of the local target of a node. Calls are routed only to
// targets in kWarming and kReady.
enum class TargetState { kStarting, kWarming, kReady, kDraining, kLeft };

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_REGISTRY_TARGET_STATE_H_
