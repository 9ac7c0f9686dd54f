#ifndef DRAGONFLYTACK_REGISTRY_LIVENESS_H_
#define DRAGONFLYTACK_REGISTRY_LIVENESS_H_

namespace dragonflytack {

// What the peers believe about a node. A suspected node still gets calls; a
// dead one does not.
enum class Liveness { kAlive, kSuspect, kDead };

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_REGISTRY_LIVENESS_H_
