#ifndef DRAGONFLYTACK_REGISTRY_NODE_ID_H_
#define DRAGONFLYTACK_REGISTRY_NODE_ID_H_

#include <string>

namespace dragonflytack {

// The name of a node, from its settings: 1 to 63 characters of a-z, 0-9, '-'
// and '.'.
using NodeId = std::string;

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_REGISTRY_NODE_ID_H_
