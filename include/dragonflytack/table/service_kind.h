#ifndef DRAGONFLYTACK_TABLE_SERVICE_KIND_H_
#define DRAGONFLYTACK_TABLE_SERVICE_KIND_H_

namespace dragonflytack {

// Whether calls of a service may be run again (kIdempotent) or must run at most
// once (kOneTime).
enum class ServiceKind { kIdempotent, kOneTime };

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_TABLE_SERVICE_KIND_H_
