#ifndef DRAGONFLYTACK_REGISTRY_LIVENESS_H_
#define DRAGONFLYTACK_REGISTRY_LIVENESS_H_

namespace dragonflytack {

// State of a node as its peers see it. A suspected node still receives calls; a
// dead one does not.
enum class Liveness { kAlive, kSuspect, kDead };

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_REGISTRY_LIVENESS_H_
