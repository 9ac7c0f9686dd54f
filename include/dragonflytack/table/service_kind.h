#ifndef DRAGONFLYTACK_TABLE_SERVICE_KIND_H_
#define DRAGONFLYTACK_TABLE_SERVICE_KIND_H_

namespace dragonflytack {

// Whether a call may be executed more than once (kIdempotent) or at most once
// (kOneTime).
enum class ServiceKind { kIdempotent, kOneTime };

}  // namespace dragonflytack

#endif  // DRAGONFLYTACK_TABLE_SERVICE_KIND_H_
